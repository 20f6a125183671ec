// Package claims connects the claim machines to the log and to the requests that wait for a verdict.
package claims
