// Package drain takes a node out of service without interrupting requests.
package drain
