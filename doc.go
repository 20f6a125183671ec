// Command lagoongw routes language-model traffic by service level and priority.
package main
