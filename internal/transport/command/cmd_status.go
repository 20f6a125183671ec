package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
)

func cmdStatus() subcommand {
	settings := &operatorSettings{}
	return subcommand{
		name:    "status",
		summary: "show what an entry VM knows: members, pools, upstreams, revision",
		options: settings,
		run: func(ctx context.Context, out io.Writer, _ []string) error {
			resp, err := call(ctx, http.MethodGet, settings.Node, "/v1/operator/status", settings.Token, nil)
			if err != nil {
				return err
			}
			var status wire.NodeStatus
			if err := resp.decode(&status); err != nil {
				return err
			}
			return printStatus(out, status)
		},
	}
}

func printStatus(out io.Writer, status wire.NodeStatus) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s/%s\trevision %d\tlog reachable: %t\n", status.Name, status.State,
		status.Region, status.AvailabilityZone, status.Revision, status.LogReachable)
	_, _ = fmt.Fprintln(w, "\nMEMBER\tSTATE\tADDRESS\tZONE")
	for _, m := range status.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, membership.State(m.State), m.CallerAddress, m.AvailabilityZone)
	}
	_, _ = fmt.Fprintln(w, "\nPOOL\tLIMIT\tIN FLIGHT\tQUEUED\tFLOOR")
	for _, pool := range status.Pools {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", pool.Pool, pool.Limit, pool.InFlight, pool.Queued, pool.Floor)
	}
	_, _ = fmt.Fprintln(w, "\nCLASS\tREQUESTS\tCOMPLETED\tNOT RUN\tFAILED\tUNKNOWN\tATTAINED\tTOKENS\tWASTED")
	for _, c := range status.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d of %d\t%d\t%d\n", c.Class, c.Requests, c.Completed,
			c.NotRun, c.Failed, c.Unknown, c.Attained, c.Owed, c.Tokens, c.WastedTokens)
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tADDRESS\tZONE\tIN FLIGHT\tREPORTED\tLEAVING\tEJECTED")
	for _, pool := range status.Pools {
		for _, r := range pool.Replicas {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\t%t\n", r.Name, r.Address, r.AvailabilityZone,
				r.InFlight, r.Reported, r.Leaving, r.Ejected)
		}
	}
	return w.Flush()
}
