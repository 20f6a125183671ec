package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/coordination/estimate"
	"lagoongw/internal/coordination/lease"
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/coordination/placement"
	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/coordination/rollout"
	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/caller"
	"lagoongw/internal/transport/claims"
	"lagoongw/internal/transport/leases"
	"lagoongw/internal/transport/members"
	"lagoongw/internal/transport/operator"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/platform"
	"lagoongw/internal/transport/rules"
	"lagoongw/internal/transport/upstream"
	"lagoongw/internal/transport/upstreams"
)

func (n *Node) prepare() error {
	var random [6]byte
	if _, err := rand.Read(random[:]); err != nil {
		return eris.Wrap(err, "generate incarnation")
	}
	n.incarnation = hex.EncodeToString(random[:])
	// The drain has no timeout: it waits for every request in flight.
	n.drainer.SetTimeouts(n.EntryAnswerTTL+time.Second, 0)
	n.drainer.PollInterval = drainPollInterval
	n.drainer.InFlight = func() int { return n.caller.InFlight() }
	n.drainer.Announce = func(ctx context.Context) { n.members.Leave(ctx) }
	n.drainer.Logger = n.Logger
	n.platform = &platform.Client{
		BaseURL:     n.PlatformURL,
		CallTimeout: n.LogTimeout,
	}
	n.platform.Open()
	n.upstream = &upstream.Client{}
	n.upstream.Init()
	n.client = &peer.Client{
		Name:   n.Name,
		Secret: n.Secret,
	}
	n.pools.init()
	n.sliceOwner.init()
	n.limiter = quota.NewLimiter()
	n.meter = placement.NewMeter(time.Now())
	n.prepareMembers()
	n.prepareUpstreams()
	n.prepareLog()
	n.prepareCaller()
	n.prepareServer()
	n.finishPreparing()
	return nil
}

func (n *Node) prepareMembers() {
	n.members = &members.Service{
		Machine: membership.New(wire.Member{
			Name:             n.Name,
			Incarnation:      int(time.Now().UnixMilli()),
			Address:          n.PeerAddress,
			CallerAddress:    n.Address,
			AvailabilityZone: n.AvailabilityZone,
			Region:           n.Region,
		}, n.Seeds),
		Client:     n.client,
		FillDigest: n.fillDigest,
		OnDigest:   n.onDigest,
		Logger:     n.Logger,
	}
	n.members.Machine.Start(time.Now())
}

func (n *Node) prepareUpstreams() {
	table := replica.NewTable()
	ejector := routing.NewEjector()
	n.router = &routing.Router{
		AvailabilityZone: n.AvailabilityZone,
		Region:           n.Region,
		Table:            table,
		Ejector:          ejector,
		LinkBudget: &routing.LinkBudget{
			BytesPerSecond: n.LinkBytesPerSecond,
			Burst:          n.LinkBytesPerSecond,
		},
		ReportDecay:    routing.DefaultReportDecay,
		ColdPrefixCost: routing.DefaultColdPrefixCost,
	}
	n.upstreams = &upstreams.Service{
		AvailabilityZone: n.AvailabilityZone,
		Table:            table,
		Ejector:          ejector,
		List:             n.platform.Machines,
		FetchLoadReport:  n.upstream.FetchLoadReport,
		OnEntryVMs:       n.seedEntryVMs,
		Logger:           n.Logger,
	}
}

func (n *Node) prepareLog() {
	sealer := record.Sealer{Secret: n.Secret}
	n.rules = &rules.Service{
		Log:                n.platform,
		Fold:               rollout.NewFold(sealer),
		IsRelay:            n.isRelay,
		IsCheckpointer:     n.isCheckpointer,
		OnInstall:          n.members.Announce,
		CheckpointInterval: n.LogRetention / 8,
		Logger:             n.Logger,
	}
	n.claims = &claims.Service{
		Log:              n.platform,
		Sealer:           sealer,
		Incarnation:      n.Name + "-" + n.incarnation,
		Partitions:       n.ClaimPartitions,
		Lifetime:         n.KeyLifetime,
		HoldsPartition:   n.holdsClaims,
		PartitionHolders: n.claimHolderAddresses,
		ClaimRemote:      n.claimRemote,
		AppendRemote:     n.appendRemote,
		VerdictTimeout:   n.LogTimeout + time.Second,
		Logger:           n.Logger,
	}
	n.claims.Prepare()
	n.leases = &leases.Service{
		Log: n.platform,
		Holder: &lease.Holder{
			Table:         lease.NewTable(sealer),
			Pool:          caller.EnginePool,
			Incarnation:   n.Name + "/" + n.incarnation,
			Length:        n.LeaseLength,
			Margin:        n.LeaseLength / leaseMarginDivisor,
			MaxOrderDelay: n.LeaseLength,
		},
		Planner:     placement.NewPlanner(),
		IsCandidate: n.isLeaseCandidate,
		FencingChecked: func() bool {
			file := n.rules.File()
			return file != nil && file.FencingChecked(caller.EnginePool)
		},
		Engines:   func() []*replica.Replica { return n.router.Table.Load().PoolReplicas(caller.EnginePool) },
		SendOrder: n.upstream.SendOrder,
		Logger:    n.Logger,
	}
}

func (n *Node) prepareCaller() {
	n.caller = &caller.Server{
		Name: n.Name,
		Location: entry.Location{
			AvailabilityZone: n.AvailabilityZone,
			Region:           n.Region,
		},
		Incarnation:        n.incarnation,
		Address:            n.Address,
		EntryAnswerTTL:     n.EntryAnswerTTL,
		KeyLifetime:        n.KeyLifetime,
		StreamIdleTimeout:  n.StreamIdleTimeout,
		CallerStallTimeout: n.CallerStallTimeout,
		Rules:              n.rules.File,
		Members:            n.members.Members,
		Phase:              n.Phase,
		Gate:               n.pools.gate,
		MarkLeaving:        n.upstreams.MarkLeaving,
		Router:             n.router,
		Claims:             n.claims,
		Limiter:            n.limiter,
		Upstream:           n.upstream,
		Outcomes:           outcome.NewStore(maxOutcomes),
		Estimates:          estimate.NewEstimator(),
		RetryBudget:        n.pools.budget,
		FetchPeerStatus:    n.fetchPeerStatus,
		Metrics:            caller.NewMetrics(),
		RecordDemand:       n.meter.Count,
		Logger:             n.Logger,
	}
}

func (n *Node) prepareServer() {
	n.server = &peer.Server{
		Secret:      n.Secret,
		IdleTimeout: peerIdleTimeout,
		Logger:      n.Logger,
		Handlers: map[string]peer.Handler{
			peer.MethodDigest:        n.members.HandleDigest,
			peer.MethodIndirectProbe: n.members.HandleIndirectProbe,
			peer.MethodRulesSince:    n.handleRules,
			peer.MethodSlices:        n.handleSlices,
			peer.MethodDemand:        n.handleDemand,
			peer.MethodRequestStatus: n.handleRequestStatus,
			peer.MethodClaim:         n.handleClaim,
			peer.MethodClaimNote:     n.handleClaimNote,
		},
	}
}

func (n *Node) operator() *operator.Server {
	return &operator.Server{
		TokenHash: n.OperatorTokenHash,
		Rules:     n.rules,
		Status:    n.Status,
		Drain:     n.Drain,
		Logger:    n.Logger,
	}
}

// newGate returns an admission gate for a pool, with a queue of its own.
func newGate(pool string) *admission.Gate {
	return admission.NewGate(pool, admission.NewQueue())
}

func newRetryBudget(string) *retry.Budget {
	return &retry.Budget{}
}
