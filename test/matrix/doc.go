// Package matrix runs requests, publishes and drains on a lab under each fault that can be injected, and compares their
// outcomes with the tables of docs/FAULTS.md. It also tests what callers, engines and peers may rely on from a node.
package matrix
