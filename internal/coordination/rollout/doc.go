// Package rollout folds the rules stream of the log into the rule file in force, the same at every node.
package rollout
