// Package claim decides, through the log alone, which node may dispatch a request that must run at most once.
package claim
