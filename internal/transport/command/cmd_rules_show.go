package command

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"lagoongw/internal/protocol/wire"
)

func cmdRulesShow() subcommand {
	settings := &operatorSettings{}
	return subcommand{
		name:    "rules show",
		summary: "print the rule file in force",
		options: settings,
		run: func(ctx context.Context, out io.Writer, _ []string) error {
			state, err := fetchRules(ctx, settings)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "# revision %d\n%s", state.Revision, state.Text)
			return err
		},
	}
}

func fetchRules(ctx context.Context, settings *operatorSettings) (wire.RuleState, error) {
	var state wire.RuleState
	resp, err := call(ctx, http.MethodGet, settings.Node, "/v1/operator/rules", settings.Token, nil)
	if err != nil {
		return state, err
	}
	return state, resp.decode(&state)
}
