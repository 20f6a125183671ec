package command

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"lagoongw/internal/protocol/wire"
)

func cmdDrain() subcommand {
	settings := &operatorSettings{}
	return subcommand{
		name:    "drain",
		summary: "take an entry VM out of service without cutting a request",
		options: settings,
		run: func(ctx context.Context, out io.Writer, _ []string) error {
			resp, err := call(ctx, http.MethodPost, settings.Node, "/v1/operator/drain", settings.Token, nil)
			if err != nil {
				return err
			}
			var status wire.NodeStatus
			if err := resp.decode(&status); err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s is %s; its process exits when no request is in flight\n", status.Name, status.State)
			return err
		},
	}
}
