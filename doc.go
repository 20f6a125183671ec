// Command lagoongw routes requests to language models and services by service level and priority.
package main
