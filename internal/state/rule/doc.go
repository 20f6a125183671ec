// Package rule parses, validates and matches the operator's rule file, and computes and applies line-based deltas.
package rule
