// Package httpapi builds HTTP handlers with go-zero's rest package, without its load shedding, circuit breaker and
// timeouts, and writes JSON responses.
package httpapi
