package placement

import (
	"slices"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Defaults of the planner's settings.
const (
	DefaultLoadInterval = 20 * time.Second
	DefaultCooldown     = 30 * time.Second
	ImbalanceThreshold  = 1.2
	DefaultMaxModels    = 2
	minDemand           = 0.01
	reportLife          = 3 * time.Minute
)

// Engine is what the planner knows of one engine.
type Engine struct {
	Name             string
	AvailabilityZone string
	Models           []string
	Leaving          bool
}

// Order is the wanted state of one engine, safe to send more than once.
type Order struct {
	Engine string
	Models []string
	Reason string
}

// Planner decides which models the engines of one pool have loaded; it is not safe for concurrent use.
type Planner struct {
	// MaxModels is the number of models that an engine holds at once.
	MaxModels int
	// LoadInterval is the time between two loads, set by the rate of the weight store.
	LoadInterval time.Duration
	// Cooldown is how long an engine is left alone after an order.
	Cooldown time.Duration

	reports  map[string]report
	demand   map[string]float64
	lastLoad time.Time
	ordered  map[string]time.Time
}

// NewPlanner returns a planner with default settings.
func NewPlanner() *Planner {
	return &Planner{
		MaxModels:    DefaultMaxModels,
		LoadInterval: DefaultLoadInterval,
		Cooldown:     DefaultCooldown,
		reports:      map[string]report{},
		demand:       map[string]float64{},
		ordered:      map[string]time.Time{},
	}
}

type report struct {
	demands []wire.ModelDemand
	at      time.Time
}

// Report takes in one node's demand, which counts until it is replaced or too old.
func (p *Planner) Report(node string, demands []wire.ModelDemand, now time.Time) {
	p.reports[node] = report{
		demands: demands,
		at:      now,
	}
}

func (p *Planner) sumDemand(now time.Time) {
	clear(p.demand)
	nodes := make([]string, 0, len(p.reports))
	for node, r := range p.reports {
		if now.Sub(r.at) > reportLife {
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

// Plan returns at most one order, since each costs a load from the weight store.
func (p *Planner) Plan(engines []Engine, now time.Time) (Order, bool) {
	if !p.lastLoad.IsZero() && now.Sub(p.lastLoad) < p.LoadInterval {
		return Order{}, false
	}
	p.sumDemand(now)
	usable := p.usable(engines)
	for _, model := range p.byPressure(usable) {
		order, ok := p.place(model, usable, now)
		if !ok {
			continue
		}
		p.lastLoad = now
		p.ordered[order.Engine] = now
		return order, true
	}
	return Order{}, false
}

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

// pressure is the demand of a model for each engine that has it loaded.
func (p *Planner) pressure(model string, engines []Engine) float64 {
	return p.pressureWith(model, 0, engines)
}

// pressureWith is the pressure after a change in the number of copies; comparing what both models would have afterwards
// makes each change an improvement, so that changes come to an end.
func (p *Planner) pressureWith(model string, change int, engines []Engine) float64 {
	demand := p.demand[model]
	copies := copiesOf(model, engines) + change
	if copies <= 0 {
		return demand * float64(len(engines)+1)
	}
	return demand / float64(copies)
}

func copiesOf(model string, engines []Engine) int {
	copies := 0
	for _, engine := range engines {
		if slices.Contains(engine.Models, model) {
			copies++
		}
	}
	return copies
}

func (p *Planner) byPressure(engines []Engine) []string {
	var models []string
	for model, demand := range p.demand {
		if demand >= minDemand {
			models = append(models, model)
		}
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := p.pressure(models[i], engines), p.pressure(models[j], engines)
		if a != b {
			return a > b
		}
		return models[i] < models[j]
	})
	return models
}

func (p *Planner) place(model string, engines []Engine, now time.Time) (Order, bool) {
	best := -1
	bestGain := 0.0
	var bestModels []string
	for i, engine := range engines {
		if slices.Contains(engine.Models, model) || now.Sub(p.ordered[engine.Name]) < p.Cooldown {
			continue
		}
		models, lost := p.replace(engine, model, engines)
		if models == nil {
			continue
		}
		gain := p.pressureWith(model, 1, engines) - ImbalanceThreshold*lost
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

// replace returns the engine's models with the new one, and the pressure that the model which makes room would have afterwards.
func (p *Planner) replace(engine Engine, model string, engines []Engine) ([]string, float64) {
	models := slices.Clone(engine.Models)
	if len(models) < p.MaxModels {
		return append(models, model), 0
	}
	least := -1
	for i, candidate := range models {
		if p.lastCopy(candidate, engines) && p.demand[candidate] >= minDemand {
			continue
		}
		if least < 0 || p.pressure(candidate, engines) < p.pressure(models[least], engines) {
			least = i
		}
	}
	if least < 0 {
		return nil, 0
	}
	lost := p.pressureWith(models[least], -1, engines)
	models[least] = model
	return models, lost
}

func (p *Planner) lastCopy(model string, engines []Engine) bool {
	return copiesOf(model, engines) == 1
}

// zoneFactor prefers a zone without the model, so that each zone gets one copy first.
func (p *Planner) zoneFactor(model string, engine Engine, engines []Engine) float64 {
	for _, other := range engines {
		if other.AvailabilityZone == engine.AvailabilityZone && slices.Contains(other.Models, model) {
			return 1
		}
	}
	return 2
}
