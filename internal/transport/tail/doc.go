// Package tail follows a stream of the platform's log across outages and truncation.
package tail
