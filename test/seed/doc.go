// Package seed fixes the random seed and the number of cases of property-based tests, so that every run tests the same
// cases.
package seed
