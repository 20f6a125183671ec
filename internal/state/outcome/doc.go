// Package outcome defines the possible outcomes of a request and stores those of recent requests for status queries.
package outcome
