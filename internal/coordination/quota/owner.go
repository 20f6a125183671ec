package quota

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// evenShare is the fraction of a limit that is split evenly, so that a node without demand yet can serve its first
// requests at once.
const evenShare = 0.2

// nodeSlice is the slice of a team's limit that one node holds, and the demand that the node reported with its last
// slice request.
type nodeSlice struct {
	demandRequests float64
	demandTokens   float64
	granted        Limit
	expiresAt      time.Time
}

// Owner grants slices of the limits of the teams that this node owns; it is not safe for concurrent use.
type Owner struct {
	teams map[string]map[string]*nodeSlice
}

// NewOwner returns an owner without granted slices.
func NewOwner() *Owner {
	return &Owner{teams: map[string]map[string]*nodeSlice{}}
}

// Teams returns the number of teams that have a granted slice.
func (o *Owner) Teams() int { return len(o.teams) }

// Grant returns a new slice in place of the node's previous one. The sum of all valid slices never exceeds the limit,
// except that slices granted before the limit was lowered stay valid until they expire.
func (o *Owner) Grant(node string, request wire.SliceRequest, limit Limit, nodes int, now time.Time) wire.Slice {
	nodeSlices := o.teams[request.Team]
	if nodeSlices == nil {
		nodeSlices = map[string]*nodeSlice{}
		o.teams[request.Team] = nodeSlices
	}
	o.removeExpiredSlices(nodeSlices, now)
	own := nodeSlices[node]
	if own == nil {
		own = &nodeSlice{}
		nodeSlices[node] = own
	}
	own.demandRequests = request.DemandRequests
	own.demandTokens = request.DemandTokens
	own.granted = Limit{}
	own.expiresAt = now.Add(SliceLength)
	own.granted = Limit{
		RequestsPerSecond: sliceRate(nodeSlices, own, limit.RequestsPerSecond, nodes, requestDemand, grantedRequests),
		TokensPerSecond:   sliceRate(nodeSlices, own, limit.TokensPerSecond, nodes, tokenDemand, grantedTokens),
	}
	return wire.Slice{
		Team:              request.Team,
		RequestsPerSecond: own.granted.RequestsPerSecond,
		TokensPerSecond:   own.granted.TokensPerSecond,
		LengthMs:          int(SliceLength.Milliseconds()),
	}
}

// RemoveExpired removes expired slices, and the teams that have no others.
func (o *Owner) RemoveExpired(now time.Time) {
	for team, nodeSlices := range o.teams {
		o.removeExpiredSlices(nodeSlices, now)
		if len(nodeSlices) == 0 {
			delete(o.teams, team)
		}
	}
}

func (o *Owner) removeExpiredSlices(nodeSlices map[string]*nodeSlice, now time.Time) {
	for node, s := range nodeSlices {
		if !now.Before(s.expiresAt) {
			delete(nodeSlices, node)
		}
	}
}

func requestDemand(s *nodeSlice) float64   { return s.demandRequests }
func tokenDemand(s *nodeSlice) float64     { return s.demandTokens }
func grantedRequests(s *nodeSlice) float64 { return s.granted.RequestsPerSecond }
func grantedTokens(s *nodeSlice) float64   { return s.granted.TokensPerSecond }

// sliceRate returns the node's part of the limit, mostly in proportion to its demand, and at most what is not granted
// to other nodes.
func sliceRate(
	nodeSlices map[string]*nodeSlice, own *nodeSlice, limit float64, nodes int, demand, granted func(*nodeSlice) float64,
) float64 {
	totalDemand, totalGranted := 0.0, 0.0
	for _, s := range nodeSlices {
		totalDemand += demand(s)
		totalGranted += granted(s)
	}
	evenPart := limit * evenShare / float64(max(nodes, len(nodeSlices), 1))
	demandPart := limit * (1 - evenShare) / float64(len(nodeSlices))
	if totalDemand > 0 {
		demandPart = limit * (1 - evenShare) * demand(own) / totalDemand
	}
	return max(min(evenPart+demandPart, limit-totalGranted), 0)
}
