package command

import (
	"context"
	"fmt"
	"io"
)

func cmdRulesHistory() subcommand {
	settings := &operatorSettings{}
	return subcommand{
		name:    "rules history",
		summary: "list the newest publishes and what became of them",
		options: settings,
		run: func(ctx context.Context, out io.Writer, _ []string) error {
			state, err := fetchRules(ctx, settings)
			if err != nil {
				return err
			}
			for _, verdict := range state.Recent {
				word := "accepted"
				if !verdict.Accepted {
					word = "refused: " + verdict.Reason
				}
				if _, err := fmt.Fprintf(out, "%8d  %-16s  %s\n", verdict.Offset, verdict.PublishID, word); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
