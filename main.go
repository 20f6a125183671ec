package main

import (
	"os"

	"lagoongw/internal/transport/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
