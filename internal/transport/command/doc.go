// Package command implements the command line, for which the main function calls Main. Each subcommand has a file of its
// own and is listed in subcommands. An argument of a subcommand is either an option or an operand.
package command
