// Package memory bounds what a node holds for callers and upstreams. A Budget divides a part of the VM's memory among
// uses; whoever takes bytes in reserves them first, and refuses or passes on what doesn't fit. It does no input or output.
package memory
