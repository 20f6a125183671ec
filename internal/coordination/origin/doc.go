// Package origin keeps at which software version streams began, so that a stream goes on at that version alone, also for a
// caller who takes it up at another node. The node where a stream begins tells a few others, its keepers.
package origin
