// Command latency measures what a node adds to a request, against the same stand-in called directly, on the loopback address.
package main
