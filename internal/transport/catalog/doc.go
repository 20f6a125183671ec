// Package catalog keeps the routes in force and the list of upstreams up to date from two topics of the platform's
// store.
package catalog
