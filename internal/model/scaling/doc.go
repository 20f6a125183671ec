// Package scaling models a pool of upstreams whose number follows its load, and compares policies that order them.
package scaling
