// Package rollout computes the rule file in force from the rules stream of the log, with the same result at every node.
//
// A publish record edits the file at a base revision, and is accepted only if that is the revision in force; its offset
// becomes the new revision. A checkpoint record carries the whole state, for nodes that start after the log has been
// truncated. Nodes can also bring each other up to date with deltas.
package rollout
