// Package placement decides which models the engines of a pool should have loaded, in few bounded changes.
package placement
