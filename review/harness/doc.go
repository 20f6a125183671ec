// Command harness plays one case of the review: it starts the program's processes beside stand-ins of the store, of the
// replicas and of the consumers, on loopback addresses and the real clock, and checks one rule.
package main
