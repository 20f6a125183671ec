// Package duties keeps the lease of the site's duties in a topic of the store, and tells whether this node holds it. The
// holder alone calls the platform API, with its number as a fencing token.
package duties
