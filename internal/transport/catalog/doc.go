// Package catalog keeps the routes in force and the list of upstreams up to date from two topics of the platform's
// store. Usually only one node of the site, the reader, reads the store and pushes what changed to the others. The
// process of an entry VM runs the Service; its gateway uses the routes and the table of upstreams.
package catalog
