// Package lease folds the leases stream of the log into the holder of each pool's lease.
package lease
