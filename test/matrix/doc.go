// Package matrix strikes every step of the request, claim, publish, lease and drain sequences with every fault.
package matrix
