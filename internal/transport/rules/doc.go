// Package rules keeps the rule file in force at this node: from the log, and from peers while the log is out.
package rules
