// Package retry limits retries in proportion to successes or to requests, so that failures cannot multiply the load.
package retry
