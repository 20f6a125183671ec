// Package capacities orders upstreams from the platform while this node holds the duty. Package capacity decides.
package capacities
