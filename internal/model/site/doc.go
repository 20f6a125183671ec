// Package site simulates a whole installation: callers, entry nodes that choose upstreams with package dispatch,
// engines, plain services and the network links between regions.
package site
