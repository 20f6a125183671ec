package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

func cmdRequest() subcommand {
	settings := &callerSettings{}
	return subcommand{
		name:    "request",
		args:    "ID",
		summary: "ask what became of a request",
		options: settings,
		run: func(ctx context.Context, out io.Writer, args []string) error {
			id, err := oneOperand(args, "ID")
			if err != nil {
				return err
			}
			resp, err := call(ctx, http.MethodGet, settings.Node, "/v1/requests/"+url.PathEscape(id), settings.Token, nil)
			if err != nil {
				return err
			}
			if resp.status == http.StatusUnauthorized {
				return eris.New("team token missing or unknown; set --team-token")
			}
			var status wire.RequestStatus
			if err := json.Unmarshal(resp.body, &status); err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s  %s  %s\n", status.ID, status.Outcome, status.Reason)
			return err
		},
	}
}
