// Package node assembles one entry VM's process from its parts and takes it through its life.
package node
