// Package outbox bounds the messages that a node holds for peers that are slower than it sends.
package outbox
