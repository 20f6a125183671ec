// Package routing chooses the upstream of a request from its own knowledge, reported load, cached prefixes and distance.
package routing
