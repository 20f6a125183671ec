// Package drain takes a node out of service without cutting a request.
package drain
