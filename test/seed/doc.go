// Package seed fixes the seed of property-based tests, so that every run tests the same cases.
package seed
