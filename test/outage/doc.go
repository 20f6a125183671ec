// Command outage measures which orders complete while the log is out, with callers' keys and with issued keys.
package main
