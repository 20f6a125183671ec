// Package duty decides which node holds the lease of the site's duties, from the records of a keyed topic of the store
// to which nodes append conditionally.
package duty
