package quota

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// floorShare is the part of a limit that is split evenly, so that a node without demand can begin at once.
const floorShare = 0.2

type asker struct {
	requests float64
	tokens   float64
	granted  Limit
	until    time.Time
}

// Owner hands out the slices of the teams that this node owns; it is not safe for concurrent use.
type Owner struct {
	teams map[string]map[string]*asker
}

// NewOwner returns an owner that has granted nothing.
func NewOwner() *Owner {
	return &Owner{teams: map[string]map[string]*asker{}}
}

// Teams returns the number of teams with slices.
func (o *Owner) Teams() int { return len(o.teams) }

// Grant answers one node's request for a slice; the slices in force never add up to more than the limit.
func (o *Owner) Grant(node string, request wire.SliceRequest, limit Limit, nodes int, now time.Time) wire.Slice {
	askers := o.teams[request.Team]
	if askers == nil {
		askers = map[string]*asker{}
		o.teams[request.Team] = askers
	}
	o.expire(askers, now)
	own := askers[node]
	if own == nil {
		own = &asker{}
		askers[node] = own
	}
	own.requests = request.DemandRequests
	own.tokens = request.DemandTokens
	own.granted = Limit{}
	own.until = now.Add(SliceLength)
	own.granted = Limit{
		RequestsPerSecond: slice(askers, own, limit.RequestsPerSecond, nodes, requestsOf, grantedRequests),
		TokensPerSecond:   slice(askers, own, limit.TokensPerSecond, nodes, tokensOf, grantedTokens),
	}
	return wire.Slice{
		Team:              request.Team,
		RequestsPerSecond: own.granted.RequestsPerSecond,
		TokensPerSecond:   own.granted.TokensPerSecond,
		LengthMs:          int(SliceLength.Milliseconds()),
	}
}

// RemoveExpired drops the teams whose slices have all ended.
func (o *Owner) RemoveExpired(now time.Time) {
	for team, askers := range o.teams {
		o.expire(askers, now)
		if len(askers) == 0 {
			delete(o.teams, team)
		}
	}
}

func (o *Owner) expire(askers map[string]*asker, now time.Time) {
	for node, a := range askers {
		if !now.Before(a.until) {
			delete(askers, node)
		}
	}
}

func requestsOf(a *asker) float64      { return a.requests }
func tokensOf(a *asker) float64        { return a.tokens }
func grantedRequests(a *asker) float64 { return a.granted.RequestsPerSecond }
func grantedTokens(a *asker) float64   { return a.granted.TokensPerSecond }

// slice is the node's part of the limit by demand, cut to what is not granted to others.
func slice(askers map[string]*asker, own *asker, limit float64, nodes int, demand, granted func(*asker) float64) float64 {
	sum, taken := 0.0, 0.0
	for _, a := range askers {
		sum += demand(a)
		taken += granted(a)
	}
	even := limit * floorShare / float64(max(nodes, len(askers), 1))
	byDemand := limit * (1 - floorShare) / float64(len(askers))
	if sum > 0 {
		byDemand = limit * (1 - floorShare) * demand(own) / sum
	}
	return max(min(even+byDemand, limit-taken), 0)
}
