package entryvm

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/reach"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/detour"
	"lagoongw/internal/transport/peer"
)

// detourTickInterval is the time between two checks for paths that may work again.
const detourTickInterval = 250 * time.Millisecond

// prepareDetours prepares the connections to upstreams through other nodes, and those for other nodes.
func (p *Process) prepareDetours() {
	p.detours = &detour.Dialer{
		Direct:    p.connections.DialDirect,
		Nodes:     p.detourNodes,
		Through:   p.connectThrough,
		OnVerdict: p.dispatcher.ReachedElsewhere,
		Logger:    p.Logger,
	}
	p.detourServer = &detour.Server{
		Dial:         p.dialForOthers,
		Listed:       func(address string) bool { return slices.Contains(p.dispatcher.OpenAddresses(time.Now()), address) },
		Controls:     p.controlAddresses,
		OpenedLately: p.detours.OpenedLately,
		Broken:       p.detours.KnownBroken,
		Draining:     func() bool { return p.Phase() != drain.Serving },
		Logger:       p.Logger,
	}
	p.connections.Dial = p.detours.Dial
	p.connections.DialTimeout = detour.DialTimeout
	p.connections.Usable = p.detours.Usable
	p.connections.OnAnswer = p.detours.Answered
}

// detourNodes returns the names of the other live nodes in random order, those in this region first.
func (p *Process) detourNodes() []string {
	var near, far []string
	for _, row := range p.members.Live() {
		switch {
		case row.Name == p.Name:
		case row.Region == p.Region:
			near = append(near, row.Name)
		default:
			far = append(far, row.Name)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// connectThrough connects to an upstream through another node.
func (p *Process) connectThrough(ctx context.Context, name, address string) (net.Conn, reach.Opinion, error) {
	row, known := p.members.Lookup(name)
	if !known {
		return nil, reach.None, eris.Errorf("node %s is not known any more", name)
	}
	var answer wire.DetourAnswer
	err := p.client.Call(ctx, row.Address, peer.MethodDetour, wire.DetourRequest{Address: address}, &answer)
	if err != nil {
		return nil, reach.None, err
	}
	if opinion := reach.ParseOpinion(answer.Opinion); opinion != reach.Reached {
		return nil, opinion, nil
	}
	ticket, err := hex.DecodeString(answer.Ticket)
	if err != nil {
		return nil, reach.None, eris.Wrap(err, "decode ticket of a connection")
	}
	conn, err := p.connections.DialDirect(ctx, row.Address)
	if err != nil {
		return nil, reach.None, err
	}
	if err := peer.OpenStream(conn, ticket); err != nil {
		_ = conn.Close()
		return nil, reach.None, err
	}
	return conn, reach.Reached, nil
}

// handleDetour connects to an upstream for another node.
func (p *Process) handleDetour(ctx context.Context, params json.RawMessage) (any, error) {
	var request wire.DetourRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode request for a connection")
	}
	ticket, opinion := p.detourServer.Open(ctx, request.Address)
	answer := wire.DetourAnswer{Opinion: opinion.String()}
	if opinion == reach.Reached {
		answer.Ticket = hex.EncodeToString(ticket[:])
	}
	return answer, nil
}

// tellPause tells the node that an answer came through that the upstream wants nothing from it for a while.
func (p *Process) tellPause(node string, upstream *replica.Replica, length time.Duration) {
	p.tellPeer(node, peer.MethodPause, wire.UpstreamPause{
		Upstream: upstream.Name(),
		Boot:     upstream.Boot(),
		PauseMs:  int(length.Milliseconds()),
	})
}

func (p *Process) handlePause(_ context.Context, params json.RawMessage) (any, error) {
	var pause wire.UpstreamPause
	if err := json.Unmarshal(params, &pause); err != nil {
		return nil, eris.Wrap(err, "decode pause of an upstream")
	}
	if r := p.dispatcher.Lookup(pause.Upstream); r != nil && r.Boot() == pause.Boot {
		p.dispatcher.Pause(r, time.Duration(pause.PauseMs)*time.Millisecond, time.Now())
	}
	return struct{}{}, nil
}

// dialForOthers connects to an upstream within the time that a direct connect may take.
func (p *Process) dialForOthers(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connection.DefaultDialTimeout)
	defer cancel()
	return p.connections.DialDirect(ctx, address)
}

// serveStream carries the bytes of a connection that another node has taken.
func (p *Process) serveStream(conn net.Conn) {
	connection.NoticeSilence(conn, p.connections.UnackedTimeout)
	p.detourServer.Serve(conn)
}

// controlAddresses returns the addresses of the other upstreams in random order.
func (p *Process) controlAddresses(address string) []string {
	others := slices.DeleteFunc(p.dispatcher.OpenAddresses(time.Now()), func(other string) bool { return other == address })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// inFlight returns the number of requests that are being served and of connections for other nodes.
func (p *Process) inFlight() int { return p.gateway.InFlight() + p.detourServer.Connections() }
