// Command latency measures the latency that a node adds to a request, compared with calling the stand-in engine
// directly on the loopback address, and the node's processor time and memory use.
package main
