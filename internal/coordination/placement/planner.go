package placement

import (
	"slices"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Defaults of the planner's settings, and the thresholds of its decisions.
const (
	// DefaultLoadInterval is the default of Planner.LoadInterval.
	DefaultLoadInterval = 20 * time.Second
	// DefaultCooldown is the default of Planner.Cooldown.
	DefaultCooldown = 30 * time.Second
	// ImbalanceThreshold is the factor by which the demand per copy of a new model must exceed that of the evicted one.
	ImbalanceThreshold = 1.2
	// DefaultMaxModels is the default of Planner.MaxModels.
	DefaultMaxModels = 2
	// minDemand is the demand below which no copy of a model is needed, in weighted requests per second.
	minDemand = 0.01
	// reportLifetime is how long the demand that a node reported is used.
	reportLifetime = 3 * time.Minute
)

// Engine is the state of one engine that the planner takes into account.
type Engine struct {
	// Name is the name of the engine.
	Name string
	// AvailabilityZone is the availability zone that the engine runs in.
	AvailabilityZone string
	// Models are the models that the engine has loaded.
	Models []string
	// Leaving is set if the engine is about to leave the pool; it gets no orders, and its copies are not counted.
	Leaving bool
}

// Order is the set of models that one engine should have loaded; it is safe to send more than once.
type Order struct {
	// Engine is the name of the engine.
	Engine string
	// Models are all the models that the engine should have loaded.
	Models []string
	// Reason explains the order in the log.
	Reason string
}

// Planner decides which models the engines of one pool load; it is not safe for concurrent use.
type Planner struct {
	// MaxModels is the maximum number of models that an engine has loaded at once.
	MaxModels int
	// LoadInterval is the minimum time between two loads, given by the throughput of the weight store.
	LoadInterval time.Duration
	// Cooldown is how long an engine gets no further order after one was sent.
	Cooldown time.Duration

	// reports holds, by node, the demand that it reported last.
	reports map[string]report
	// demand holds, by model, the sum of the demand reported by all nodes.
	demand map[string]float64
	// lastLoadAt is the time of the most recent order to any engine; each order loads one model.
	lastLoadAt time.Time
	// lastOrderAt holds, by engine, the time of the most recent order to it.
	lastOrderAt map[string]time.Time
}

// NewPlanner returns a planner with default settings.
func NewPlanner() *Planner {
	return &Planner{
		MaxModels:    DefaultMaxModels,
		LoadInterval: DefaultLoadInterval,
		Cooldown:     DefaultCooldown,
		reports:      map[string]report{},
		demand:       map[string]float64{},
		lastOrderAt:  map[string]time.Time{},
	}
}

// report is the demand that one node reported.
type report struct {
	demands    []wire.ModelDemand
	receivedAt time.Time
}

// Report stores one node's demand, which is used until it is replaced or expires.
func (p *Planner) Report(node string, demands []wire.ModelDemand, now time.Time) {
	p.reports[node] = report{
		demands:    demands,
		receivedAt: now,
	}
}

// sumDemand adds up the demand of all nodes, in a fixed order of nodes so that rounding is reproducible.
func (p *Planner) sumDemand(now time.Time) {
	clear(p.demand)
	nodes := make([]string, 0, len(p.reports))
	for node, r := range p.reports {
		if now.Sub(r.receivedAt) > reportLifetime {
			delete(p.reports, node)
			continue
		}
		nodes = append(nodes, node)
	}
	sort.Strings(nodes)
	for _, node := range nodes {
		for _, d := range p.reports[node].demands {
			p.demand[d.Model] += d.Weight
		}
	}
}

// Plan returns the next order, if one is due. It returns at most one, since each loads a model from the weight store.
func (p *Planner) Plan(engines []Engine, now time.Time) (Order, bool) {
	if !p.lastLoadAt.IsZero() && now.Sub(p.lastLoadAt) < p.LoadInterval {
		return Order{}, false
	}
	p.sumDemand(now)
	usable := p.usable(engines)
	for _, model := range p.modelsByDemandPerCopy(usable) {
		order, ok := p.place(model, usable, now)
		if !ok {
			continue
		}
		p.lastLoadAt = now
		p.lastOrderAt[order.Engine] = now
		return order, true
	}
	return Order{}, false
}

// usable returns the engines that are not leaving, sorted by name.
func (p *Planner) usable(engines []Engine) []Engine {
	var usable []Engine
	for _, engine := range engines {
		if !engine.Leaving {
			usable = append(usable, engine)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].Name < usable[j].Name })
	return usable
}

// demandPerCopy returns the demand for a model divided by the number of engines that have it loaded.
func (p *Planner) demandPerCopy(model string, engines []Engine) float64 {
	return p.demandPerCopyAfter(model, 0, engines)
}

// demandPerCopyAfter returns the demand per copy after a change in the number of copies.
//
// The loaded and the evicted model are compared by their values after the change. Each change is thus an improvement,
// so that the plan converges. A model without copies gets a value above its demand, so that it is loaded first.
func (p *Planner) demandPerCopyAfter(model string, change int, engines []Engine) float64 {
	demand := p.demand[model]
	copies := copiesOf(model, engines) + change
	if copies <= 0 {
		return demand * float64(len(engines)+1)
	}
	return demand / float64(copies)
}

// copiesOf returns the number of engines that have a model loaded.
func copiesOf(model string, engines []Engine) int {
	copies := 0
	for _, engine := range engines {
		if slices.Contains(engine.Models, model) {
			copies++
		}
	}
	return copies
}

// modelsByDemandPerCopy returns the models in demand, the one with the highest demand per copy first.
func (p *Planner) modelsByDemandPerCopy(engines []Engine) []string {
	var models []string
	for model, demand := range p.demand {
		if demand >= minDemand {
			models = append(models, model)
		}
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := p.demandPerCopy(models[i], engines), p.demandPerCopy(models[j], engines)
		if a != b {
			return a > b
		}
		return models[i] < models[j]
	})
	return models
}

// place returns an order that loads a model on the engine with the highest gain, which is the model's demand per copy
// after the load less ImbalanceThreshold times that of the evicted model. It returns false if no gain is positive.
func (p *Planner) place(model string, engines []Engine, now time.Time) (Order, bool) {
	best := -1
	bestGain := 0.0
	var bestModels []string
	for i, engine := range engines {
		if slices.Contains(engine.Models, model) || now.Sub(p.lastOrderAt[engine.Name]) < p.Cooldown {
			continue
		}
		models, evictedDemand := p.modelsWith(engine, model, engines)
		if models == nil {
			continue
		}
		gain := p.demandPerCopyAfter(model, 1, engines) - ImbalanceThreshold*evictedDemand
		gain *= p.zoneFactor(model, engine, engines)
		if gain > bestGain+1e-9 {
			best, bestGain, bestModels = i, gain, models
		}
	}
	if best < 0 {
		return Order{}, false
	}
	return Order{
		Engine: engines[best].Name,
		Models: bestModels,
		Reason: "demand for " + model,
	}, true
}

// modelsWith returns the engine's models with the new one added, and the demand per copy of the evicted model after the
// change. It returns nil if no model can be evicted, since the last copy of a model in demand stays loaded.
func (p *Planner) modelsWith(engine Engine, model string, engines []Engine) ([]string, float64) {
	models := slices.Clone(engine.Models)
	if len(models) < p.MaxModels {
		return append(models, model), 0
	}
	evicted := -1
	for i, candidate := range models {
		if p.isLastCopy(candidate, engines) && p.demand[candidate] >= minDemand {
			continue
		}
		if evicted < 0 || p.demandPerCopy(candidate, engines) < p.demandPerCopy(models[evicted], engines) {
			evicted = i
		}
	}
	if evicted < 0 {
		return nil, 0
	}
	evictedDemand := p.demandPerCopyAfter(models[evicted], -1, engines)
	models[evicted] = model
	return models, evictedDemand
}

// isLastCopy reports whether only one engine has the model loaded.
func (p *Planner) isLastCopy(model string, engines []Engine) bool {
	return copiesOf(model, engines) == 1
}

// zoneFactor returns the factor of the gain on an engine: 1 in an availability zone that has the model, otherwise 2, so
// that each zone gets one copy first.
func (p *Planner) zoneFactor(model string, engine Engine, engines []Engine) float64 {
	for _, other := range engines {
		if other.AvailabilityZone == engine.AvailabilityZone && slices.Contains(other.Models, model) {
			return 1
		}
	}
	return 2
}
