// Package policy simulates a fleet of engines in virtual time, and compares lagoongw's admission and routing with two
// simple load balancing policies.
package policy
