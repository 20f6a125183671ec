// Package node wires the services of an entry VM together and runs them from startup to shutdown.
package node
