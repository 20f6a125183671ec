package entryvm

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/coordination/usage"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/duties"
	"lagoongw/internal/transport/gateway"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/usages"
)

// bootIDBits keeps the identifier of a start within the integers that JSON readers keep exactly.
const bootIDBits = 52

// UsageReports describes the usage reports to the platform.
type UsageReports struct {
	// Window is the length of a window, Tolerance the share by which a count may be off, and Delay the time after the end of
	// a window within which it is to be reported.
	Window    time.Duration
	Tolerance float64
	Delay     time.Duration
	// Report sends a report as a holder with its number. It returns duties.ErrRefused if a higher number was seen.
	Report func(ctx context.Context, holder string, number, window int, counts map[string]int) error
}

// prepareUsages prepares the usage reports, if there are any; the duties, the gateway and the peers must be prepared.
func (p *Process) prepareUsages() {
	if p.UsageReports == nil || p.Duties == nil {
		return
	}
	p.usages = &usages.Service{
		Name:        p.Name,
		Boot:        rand.Uint64() >> (64 - bootIDBits),
		Window:      p.UsageReports.Window,
		Off:         p.UsageReports.Tolerance,
		Late:        p.UsageReports.Delay,
		BootTime:    bootTime,
		WallTime:    time.Now,
		Held:        p.Duties.Held,
		Save:        p.Duties.SaveAs,
		Records:     p.Duties.Records,
		Heard:       p.Duties.Heard,
		Unreachable: p.Duties.Unreachable,
		Report:      p.reportUsage,
		Nodes:       p.usageNodes,
		Call:        p.callUsageCounts,
		Ended:       func(err error) bool { return errors.Is(err, unix.ECONNREFUSED) },
		Logger:      p.Logger,
	}
	p.usages.Prepare()
	p.gateway.Usage = p.usages
	p.server.Handlers[peer.MethodUsageCounts] = p.handleUsageCounts
	registerUsageGauges(p.gateway.Metrics, p.usages)
}

// bootTime returns the time since the machine started, including the time in which it was suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // fails only for an unknown clock
	return time.Duration(now.Nano())
}

// reportUsage sends a report if this node still holds the duties, and ends the holdership if it is refused.
func (p *Process) reportUsage(ctx context.Context, number, window int, counts map[string]int) error {
	err := p.Duties.Call(ctx, number, func(ctx context.Context) error {
		return p.UsageReports.Report(ctx, p.Name, number, window, counts)
	})
	if errors.Is(err, duties.ErrRefused) {
		p.Duties.Refused(number)
	}
	return err
}

// usageNodes returns the nodes that may still count requests. Those that leave do until they have stopped.
func (p *Process) usageNodes() []usage.Node {
	var nodes []usage.Node
	for _, row := range p.members.Members() {
		if state := membership.State(row.State); state != membership.Dead {
			nodes = append(nodes, usage.Node{
				Name: row.Name,
				Live: state == membership.Alive,
			})
		}
	}
	return nodes
}

func (p *Process) callUsageCounts(ctx context.Context, name string, call wire.UsageCall) (answer wire.UsageCounts, err error) {
	err = p.callPeer(ctx, name, peer.MethodUsageCounts, call, &answer)
	return answer, err
}

func (p *Process) handleUsageCounts(_ context.Context, params json.RawMessage) (any, error) {
	var call wire.UsageCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, eris.Wrap(err, "decode call for usage counts")
	}
	return p.usages.Answer(call), nil
}

func registerUsageGauges(m *gateway.Metrics, s *usages.Service) {
	m.RegisterGauge("usage_windows_reported", "Windows whose usage reports were accepted from this node.",
		func() float64 { return float64(s.Stats().Reported) })
	for _, reason := range usage.Reasons() {
		name := "usage_windows_left_out_" + strings.ReplaceAll(string(reason), "-", "_")
		m.RegisterGauge(name, "Windows that this node left out of the usage reports: "+string(reason)+".",
			func() float64 { return float64(s.Stats().LeftOut[reason]) })
	}
	m.RegisterGauge("usage_nodes_heard", "Live nodes that this node has heard of late as the holder, 0 at the others.",
		func() float64 { return float64(s.Stats().Heard) })
	m.RegisterGauge("usage_checkpoint_bytes", "Size of this node's last checkpoint of usage counts.",
		func() float64 { return float64(s.Stats().CheckpointBytes) })
}
