// Package retry bounds retries and hedges as a share of successes.
package retry
