// Package usage counts for each team the requests that began to run in each window of true time, and decides what one
// node, the holder, reports for the whole site. Counter counts on each node, Clock and Consensus estimate true time,
// and Tally on the holder decides when the counts of a window are complete, fixed, sent, or left out.
package usage
