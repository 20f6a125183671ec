// Package usages reports the usage of the whole site to the platform. Each node counts its requests; the holder of the
// duties collects the counts once a second, saves what it has collected in the store, and reports each window once.
package usages
