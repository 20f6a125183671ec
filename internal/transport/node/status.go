package node

import (
	"context"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/caller"
)

// Status returns the node's view of the members, pools and upstreams, and its counts of requests.
func (n *Node) Status() wire.NodeStatus {
	now := time.Now()
	status := wire.NodeStatus{
		Name:             n.Name,
		AvailabilityZone: n.AvailabilityZone,
		Region:           n.Region,
		State:            n.Phase().String(),
		Revision:         n.rules.Revision(),
		Members:          n.members.Members(),
		LogReachable:     n.rules.LogReachable(),
	}
	snapshot := n.router.Table.Load()
	for _, pool := range snapshot.PoolNames() {
		poolStatus := n.pools.ensureGate(pool).Status(now)
		for _, r := range snapshot.PoolReplicas(pool) {
			poolStatus.Replicas = append(poolStatus.Replicas, n.replicaStatus(r, now))
		}
		status.Pools = append(status.Pools, poolStatus)
	}
	status.Classes = classStatuses(n.caller.Metrics.Snapshot())
	return status
}

func classStatuses(classes map[string]caller.ClassCounts) []wire.ClassStatus {
	rows := make([]wire.ClassStatus, 0, len(classes))
	for class, c := range classes {
		rows = append(rows, wire.ClassStatus{
			Class:        class,
			Requests:     int(c.Requests),
			Completed:    int(c.Completed),
			NotRun:       int(c.NotRun),
			Failed:       int(c.Failed),
			Unknown:      int(c.Unknown),
			Owed:         int(c.Owed),
			Attained:     int(c.Attained),
			Tokens:       int(c.Tokens),
			WastedTokens: int(c.WastedTokens),
		})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Class < rows[j].Class })
	return rows
}

func (n *Node) replicaStatus(r *replica.Replica, now time.Time) wire.ReplicaStatus {
	reported := 0
	if load := r.Load(); load != nil {
		reported = load.Total()
	}
	return wire.ReplicaStatus{
		Name:             r.Name(),
		Address:          r.Address(),
		AvailabilityZone: r.AvailabilityZone(),
		InFlight:         r.InFlight(),
		Reported:         reported,
		Leaving:          r.Leaving(),
		Ejected:          n.router.Ejector.Ejected(r.Name(), now),
	}
}

// Vars holds the variables that the node publishes with expvar.
type Vars struct {
	Classes           map[string]caller.ClassCounts `json:"classes"`
	Pools             []PoolVars                    `json:"pools"`
	InFlight          int                           `json:"in-flight"`
	Revision          int                           `json:"revision"`
	LogReachable      bool                          `json:"log-reachable"`
	ClaimKeys         int                           `json:"claim-keys"`
	ClaimAppends      int64                         `json:"claim-appends"`
	LiveMembers       int                           `json:"members-live"`
	LeaseHeld         bool                          `json:"lease-held"`
	EngineOrders      int64                         `json:"engine-orders"`
	LinkBytes         int64                         `json:"link-bytes"`
	PeerBytesSent     int64                         `json:"peer-bytes-sent"`
	PeerBytesReceived int64                         `json:"peer-bytes-received"`
	LimitedTeams      int                           `json:"limited-teams"`
	DrainPhase        string                        `json:"drain-phase"`
	UpstreamCount     int                           `json:"upstreams"`
}

// PoolVars holds the variables of one pool that the node publishes with expvar.
type PoolVars struct {
	Pool     string `json:"pool"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in-flight"`
	Queued   int    `json:"queued"`
	Floor    int    `json:"floor"`
	Started  int64  `json:"started"`
	Refused  int64  `json:"refused"`
}

// Vars returns the node's current variables as a value of type Vars, or nil before Run has prepared the node.
func (n *Node) Vars() any {
	if !n.prepared.Load() {
		return nil
	}
	clientSent, clientReceived := n.client.ByteCounts()
	serverSent, serverReceived := n.server.ByteCounts()
	_, held := n.leases.FencingNumber()
	return Vars{
		Classes:           n.caller.Metrics.Snapshot(),
		Pools:             n.poolVars(),
		InFlight:          n.caller.InFlight(),
		Revision:          n.rules.Revision(),
		LogReachable:      n.rules.LogReachable(),
		ClaimKeys:         n.claims.KeyCount(),
		ClaimAppends:      n.claims.AppendCount(),
		LiveMembers:       len(n.members.Live()),
		LeaseHeld:         held,
		EngineOrders:      n.leases.OrderCount(),
		LinkBytes:         n.router.LinkBudget.Used(),
		PeerBytesSent:     clientSent + serverSent,
		PeerBytesReceived: clientReceived + serverReceived,
		LimitedTeams:      n.limiter.Teams(),
		DrainPhase:        n.Phase().String(),
		UpstreamCount:     n.router.Table.Load().Len(),
	}
}

func (n *Node) poolVars() []PoolVars {
	now := time.Now()
	var vars []PoolVars
	for _, pool := range n.router.Table.Load().PoolNames() {
		gate := n.pools.ensureGate(pool)
		status := gate.Status(now)
		started, refused := gate.Counts()
		vars = append(vars, PoolVars{
			Pool:     pool,
			Limit:    status.Limit,
			InFlight: status.InFlight,
			Queued:   status.Queued,
			Floor:    status.Floor,
			Started:  started,
			Refused:  refused,
		})
	}
	return vars
}

// Ready reports whether the node has read the rules and the claims partitions that it holds, up to the newest record at the time
// when it began to follow them.
func (n *Node) Ready() bool {
	return n.prepared.Load() && n.rules.Ready() && n.claims.Ready()
}

// Publish appends a rule file to the log and waits for the verdict, which depends on the order of the log's records.
func (n *Node) Publish(ctx context.Context, request wire.PublishRequest) (wire.RuleVerdict, error) {
	return n.rules.Publish(ctx, request)
}

// Rules returns the rule file in force.
func (n *Node) Rules() (wire.RuleState, error) {
	return n.rules.State()
}
