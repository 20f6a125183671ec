// Package matrix tests the request, claim, publish, lease and drain sequences with each fault injected at each step.
package matrix
