// Package tail follows one stream of the platform's log through outages and truncation.
package tail
