// Package rollout computes the rule file in force from the rules stream of the log, with the same result at every node.
package rollout
