// Package rule parses and validates the operator's rule file, matches requests to its rules, and computes and applies
// line-based deltas of the file.
package rule
