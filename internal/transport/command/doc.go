// Package command implements the command line. Each subcommand has a file of its own and is listed in subcommands.
package command
