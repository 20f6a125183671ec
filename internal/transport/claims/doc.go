// Package claims runs a claimer for each partition of the keys: it feeds the claimers from the log, appends their
// records and hands their verdicts to the waiting requests. Keys of partitions that this node does not hold are claimed
// through nodes that do.
package claims
