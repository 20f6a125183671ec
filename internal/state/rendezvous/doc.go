// Package rendezvous ranks nodes for a key so that every node computes the same owner without a message.
package rendezvous
