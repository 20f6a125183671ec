// Package rules keeps the rule file in force at this node up to date, from the log and, also while the log is
// unreachable, from peers; it publishes new rule files for operators.
package rules
