//go:build nolab

package command

// labSubcommands returns nothing: a program built with the tag nolab leaves out the lab and its libraries, which would
// take memory of each entry VM.
func labSubcommands() []subcommand { return nil }
