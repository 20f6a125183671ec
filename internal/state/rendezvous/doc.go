// Package rendezvous implements rendezvous hashing: every node computes the same owner of a key without communication.
package rendezvous
