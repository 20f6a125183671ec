// Package ratelimit keeps the sends of all nodes to an upstream within the limit that the upstream names. Each node learns
// the limits from answers and from other nodes. One node, the holder, grants the sends to an upstream, so that the limit
// holds however few requests it allows and however many nodes share it.
package ratelimit
