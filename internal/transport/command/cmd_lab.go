//go:build !nolab

package command

import (
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"lagoongw/internal/model/experiment"
	"lagoongw/internal/model/scaling"
	"lagoongw/internal/model/site"
)

// labSettings holds the options of the lab command.
type labSettings struct {
	Policies []string `long:"policy" description:"a policy to compare; may be repeated; all without it"`
	Seeds    int      `long:"seeds" default:"5" description:"runs of each policy"`
	JSON     bool     `long:"json" description:"print a JSON line for each policy, seed and class instead of a table"`
	Plots    string   `long:"plots" description:"directory for SVG plots of the share in time"`
	Capacity bool     `long:"capacity" description:"compare policies for the number of upstreams; takes no FILE"`
}

func labSubcommands() []subcommand { return []subcommand{cmdLab()} }

func cmdLab() subcommand {
	settings := &labSettings{}
	return subcommand{
		name:    "lab",
		args:    "FILE",
		summary: "compare routing policies on a model of an installation",
		options: settings,
		run: func(ctx context.Context, out io.Writer, args []string) error {
			if settings.Capacity {
				return compareCapacity(out, args)
			}
			path, err := oneOperand(args, "FILE")
			if err != nil {
				return err
			}
			return settings.run(ctx, out, path)
		},
	}
}

// compareCapacity writes the comparison of policies for the number of upstreams.
func compareCapacity(out io.Writer, args []string) error {
	if len(args) > 0 {
		return usageError{text: "--capacity takes no FILE"}
	}
	return scaling.WriteTable(out, scaling.Compare())
}

func (s *labSettings) run(ctx context.Context, out io.Writer, path string) error {
	logx.DisableStat() // go-zero would print its statistics among the results
	policies, err := s.selectPolicies()
	if err != nil {
		return err
	}
	text, err := readFile(path)
	if err != nil {
		return err
	}
	name, spec, err := experiment.Parse([]byte(text))
	if err != nil {
		return eris.Wrap(err, path)
	}
	e := &experiment.Experiment{
		Name:     name,
		Spec:     spec,
		Policies: policies,
		Seeds:    s.Seeds,
	}
	outcomes, err := e.Run(ctx)
	if err != nil {
		return err
	}
	return s.writeResults(out, name, outcomes)
}

func (s *labSettings) selectPolicies() ([]site.Policy, error) {
	if s.Seeds < 1 {
		return nil, usageError{text: "--seeds: expected 1 or more"}
	}
	if len(s.Policies) == 0 {
		return site.Policies(), nil
	}
	var selected []site.Policy
	for _, name := range s.Policies {
		policy, known := site.PolicyByName(name)
		if !known {
			return nil, usageError{text: fmt.Sprintf("--policy: unknown policy %q; %s", name, describePolicies())}
		}
		selected = append(selected, policy)
	}
	return selected, nil
}

func describePolicies() string {
	text := "the policies are"
	for _, policy := range site.Policies() {
		text += "\n  " + policy.Name + ": " + policy.Summary
	}
	return text
}

func (s *labSettings) writeResults(out io.Writer, name string, outcomes []experiment.Outcome) error {
	write := experiment.WriteTable
	if s.JSON {
		write = experiment.WriteJSONLines
	}
	if err := write(out, name, outcomes); err != nil {
		return err
	}
	if s.Plots == "" {
		return nil
	}
	files, err := experiment.WritePlots(s.Plots, name, outcomes)
	for _, file := range files {
		_, _ = fmt.Fprintln(out, "wrote", file)
	}
	return err
}
