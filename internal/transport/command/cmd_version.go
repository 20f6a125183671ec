package command

import (
	"context"
	"fmt"
	"io"

	"lagoongw/internal/state/build"
)

func cmdVersion() subcommand {
	return subcommand{
		name:    "version",
		summary: "print the version",
		run: func(_ context.Context, out io.Writer, _ []string) error {
			_, err := fmt.Fprintln(out, build.Version)
			return err
		},
	}
}
