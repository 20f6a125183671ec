// Package rule parses, validates and matches the operators' rule file, and computes and applies line deltas.
package rule
