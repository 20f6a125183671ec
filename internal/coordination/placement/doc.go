// Package placement decides which models each engine of a pool loads, with at most one load per interval.
package placement
