// Package retry bounds retries as a share of successes.
package retry
