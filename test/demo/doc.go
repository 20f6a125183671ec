// Command demo starts a small fleet, sends requests while a node is killed, and prints the outcomes that callers
// receive.
package main
