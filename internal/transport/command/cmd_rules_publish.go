package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

// publishSettings holds the options of the rules publish command.
type publishSettings struct {
	operatorSettings
	Base      int    `long:"base" default:"-2" description:"revision that the file was edited from; without it, the one in force now"`
	PublishID string `long:"publish-id" description:"name of this publish; give the same one to ask again after a lost answer"`
}

// currentRevision is the default of --base and stands for the revision in force. It is not -1, which is the revision
// before the first publish.
const currentRevision = -2

func cmdRulesPublish() subcommand {
	settings := &publishSettings{}
	return subcommand{
		name:    "rules publish",
		args:    "FILE",
		summary: "publish a rule file to all entry VMs",
		options: settings,
		run: func(ctx context.Context, out io.Writer, args []string) error {
			path, err := oneOperand(args, "FILE")
			if err != nil {
				return err
			}
			return publish(ctx, out, settings, path)
		},
	}
}

func publish(ctx context.Context, out io.Writer, settings *publishSettings, path string) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	text = rule.Normalize(text)
	if _, err := rule.Parse(text); err != nil {
		return err
	}
	if settings.Base == currentRevision {
		state, err := fetchRules(ctx, &settings.operatorSettings)
		if err != nil {
			return err
		}
		settings.Base = state.Revision
	}
	if settings.PublishID == "" {
		settings.PublishID = newPublishID()
	}
	resp, err := call(ctx, http.MethodPost, settings.Node, "/v1/operator/rules", settings.Token, wire.PublishRequest{
		PublishID: settings.PublishID,
		Base:      settings.Base,
		Text:      text,
	})
	if err != nil {
		return eris.Errorf("unknown whether the file was published; run again with --base %d --publish-id %s: %v",
			settings.Base, settings.PublishID, err)
	}
	return printVerdict(out, resp)
}

func printVerdict(out io.Writer, resp response) error {
	var verdict wire.RuleVerdict
	if resp.status == http.StatusConflict && json.Unmarshal(resp.body, &verdict) == nil {
		return eris.Errorf("refused: %s; revision %d is in force, see `%s rules show`",
			verdict.Reason, verdict.Revision, programName)
	}
	if err := resp.decode(&verdict); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "revision %d in force\n", verdict.Revision)
	return err
}

func newPublishID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
