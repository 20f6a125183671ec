// Program harness2 plays the cases of the second review: it starts the gateway's processes as the deploy file does, serves the
// platform's store, the replicas and the consumers as stand-ins, causes one disruption and checks one rule.
package main
