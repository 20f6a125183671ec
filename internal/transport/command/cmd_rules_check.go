package command

import (
	"context"
	"fmt"
	"io"

	"lagoongw/internal/state/rule"
)

func cmdRulesCheck() subcommand {
	return subcommand{
		name:    "rules check",
		args:    "FILE",
		summary: "check a rule file without publishing it",
		run: func(_ context.Context, out io.Writer, args []string) error {
			path, err := oneOperand(args, "FILE")
			if err != nil {
				return err
			}
			text, err := readFile(path)
			if err != nil {
				return err
			}
			file, err := rule.Parse(rule.Normalize(text))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s: %d rules, %d teams, no errors\n", path, len(file.Rules()), file.TeamCount())
			return err
		},
	}
}
