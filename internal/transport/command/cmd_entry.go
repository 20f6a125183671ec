package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"lagoongw/internal/protocol/wire"
)

// entrySettings holds the options of the entry command.
type entrySettings struct {
	Node             string `long:"node" env:"LAGOONGW_NODE" default:"127.0.0.1:8080" description:"address of any entry VM"`
	Team             string `long:"team" env:"LAGOONGW_TEAM" description:"name of the team"`
	AvailabilityZone string `long:"availability-zone" env:"LAGOONGW_AVAILABILITY_ZONE" description:"availability zone of the caller"`
}

func cmdEntry() subcommand {
	settings := &entrySettings{}
	return subcommand{
		name:    "entry",
		summary: "ask which entry VMs a team should use",
		options: settings,
		run: func(ctx context.Context, out io.Writer, _ []string) error {
			query := url.Values{
				"team":              {settings.Team},
				"availability-zone": {settings.AvailabilityZone},
			}
			resp, err := call(ctx, http.MethodGet, settings.Node, "/v1/entry-vms?"+query.Encode(), "", nil)
			if err != nil {
				return err
			}
			var entry wire.EntryAnswer
			if err := resp.decode(&entry); err != nil {
				return err
			}
			for _, address := range entry.Addresses {
				if _, err := fmt.Fprintln(out, address); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(out, "# keep for %s\n", time.Duration(entry.KeepMs)*time.Millisecond)
			return err
		},
	}
}
