// Command demo starts a small fleet, sends real requests through failures, and prints what each caller learned.
package main
