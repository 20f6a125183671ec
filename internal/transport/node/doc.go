// Package node runs an entry VM of the serve command, whose platform has a log: it wires the services of the entry VM
// together, answers the calls of the other nodes and stops after a drain. The gateway command runs package entryvm
// instead.
package node
