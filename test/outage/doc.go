// Command outage measures the outcomes of orders during an outage of the log, with keys that callers choose and with
// keys that nodes issue.
package main
