// Package stops stops, kills and freezes the processes of a site under traffic, with upstreams that are slow or faulty, and checks
// what callers and upstreams have seen.
package stops
