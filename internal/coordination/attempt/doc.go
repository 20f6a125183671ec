// Package attempt decides after each send of a request whether to retry it, and otherwise which final response is
// correct.
package attempt
