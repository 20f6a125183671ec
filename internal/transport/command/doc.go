// Package command is the command line: one file for each subcommand, listed in one table.
package command
