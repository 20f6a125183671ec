package route

import (
	"sort"
	"strings"
	"time"
)

// Pool is a group of upstreams that serve the same requests.
type Pool struct {
	Name string
	// HealthPath is the path of the health check, which an upstream answers with status 200 while it is healthy.
	HealthPath string
	// MaxConnections is the number of connections that an upstream accepts from all entry VMs together.
	MaxConnections int
	// Engine is the capacity of each upstream of a pool of model engines, nil for a plain service.
	Engine *Engine
	// Scaling describes how the number of upstreams may be changed, nil if it is fixed.
	Scaling *Scaling
}

// Scaling describes how the number of upstreams of a pool may be changed.
type Scaling struct {
	// Min and Max limit the upstreams in each availability zone.
	Min int
	Max int
	// Boot is the time until a new upstream serves.
	Boot time.Duration
	// SpotPrice is the price of an upstream that the platform may reclaim, relative to one on demand; 0 if there are none.
	SpotPrice float64
	// ZonePrices holds the price of an upstream on demand by availability zone.
	ZonePrices map[string]float64
}

// Engine describes the capacity of a model engine.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of the engine's KV cache in tokens, shared by running requests and cached prompt
	// parts.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a streamed response.
	EventTokens int
}

// Team is a group of callers that share API keys and, optionally, a priority tier.
type Team struct {
	Name string
	Keys []string
	// Tier, if set, takes precedence over the tier of the route, which then only orders requests of teams with the same
	// tier.
	Tier *int
}

// Limits holds the operator's limits on the size of a caller's requests and on the time that a caller may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TableSpec holds the contents of a Table.
type TableSpec struct {
	Version int
	Routes  []*Route
	Pools   []Pool
	Teams   []Team
	Limits  Limits
}

// Table is one version of the operator's routing settings. It is immutable.
type Table struct {
	settings       Settings
	byHost         map[string][]*Route
	teamByKey      map[string]*Team
	hasTeams       bool
	priorityLevels map[priority]int
	// resumable holds the longest timeout of the resumable routes to a pool, by pool.
	resumable map[string]time.Duration
}

// NewTable returns a table with the contents of spec.
func NewTable(spec TableSpec) *Table {
	t := &Table{
		settings: Settings{
			Version: spec.Version,
			Limits:  spec.Limits,
			pools:   map[string]Pool{},
		},
		byHost:         map[string][]*Route{},
		teamByKey:      map[string]*Team{},
		hasTeams:       len(spec.Teams) > 0,
		priorityLevels: assignLevels(spec.Routes, spec.Teams),
		resumable:      map[string]time.Duration{},
	}
	for _, r := range spec.Routes {
		host := strings.ToLower(r.Host())
		t.byHost[host] = append(t.byHost[host], r)
		if !r.Resumable() {
			continue
		}
		for _, p := range r.Pools() {
			t.resumable[p.Pool] = max(t.resumable[p.Pool], r.Timeout())
		}
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix()) > len(routes[j].Prefix()) })
	}
	for _, pool := range spec.Pools {
		t.settings.pools[pool.Name] = pool
	}
	for i := range spec.Teams {
		for _, key := range spec.Teams[i].Keys {
			t.teamByKey[key] = &spec.Teams[i]
		}
	}
	return t
}

// Settings are what a request needs of a table for as long as it lasts. They hold none of the routes and teams.
type Settings struct {
	Version int
	Limits  Limits
	pools   map[string]Pool
}

// Pool returns the pool with the given name.
func (s Settings) Pool(name string) (Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// Settings returns the settings of the table.
func (t *Table) Settings() Settings { return t.settings }

// Version returns the version of the table; a higher version is newer.
func (t *Table) Version() int { return t.settings.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.settings.Limits }

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (Pool, bool) { return t.settings.Pool(name) }

// ResumableTimeouts returns the longest timeout of the resumable routes to a pool, by pool. It must not be modified.
func (t *Table) ResumableTimeouts() map[string]time.Duration { return t.resumable }

// ScaledPools returns the pools with scaling, sorted by name.
func (t *Table) ScaledPools() []Pool {
	var scaled []Pool
	for _, pool := range t.settings.pools {
		if pool.Scaling != nil {
			scaled = append(scaled, pool)
		}
	}
	sort.Slice(scaled, func(i, j int) bool { return scaled[i].Name < scaled[j].Name })
	return scaled
}

// Match returns the route of the host with the longest matching path prefix, or nil. The host may have a port.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r
		}
	}
	return nil
}

// TeamByKey returns the team that owns an API key, or nil.
func (t *Table) TeamByKey(key string) *Team { return t.teamByKey[key] }

// NeedsKey reports whether requests on the route require an API key. No route does while the table has no teams.
func (t *Table) NeedsKey(r *Route) bool { return t.hasTeams && !r.Public() }
