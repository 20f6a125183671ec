package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var start = time.Unix(1_700_000_000, 0)

func engines(count int, models ...string) []Engine {
	var list []Engine
	for i := range count {
		list = append(list, Engine{
			Name:             fmt.Sprintf("engine-%d", i),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%3),
			Models:           slices.Clone(models),
		})
	}
	return list
}

func demand(weights map[string]float64) []wire.ModelDemand {
	var list []wire.ModelDemand
	for _, model := range []string{"a", "b", "c"} {
		if weight := weights[model]; weight > 0 {
			list = append(list, wire.ModelDemand{
				Model:  model,
				Weight: weight,
			})
		}
	}
	return list
}

// runPlanner calls Plan once per second until the limit, applies each order at once and returns the number of orders.
func runPlanner(p *Planner, list []Engine, weights map[string]float64, limit time.Duration) int {
	orders := 0
	for elapsed := time.Duration(0); elapsed < limit; elapsed += time.Second {
		now := start.Add(elapsed)
		p.Report("entry-1", demand(weights), now)
		order, due := p.Plan(list, now)
		if !due {
			continue
		}
		orders++
		for i := range list {
			if list[i].Name == order.Engine {
				list[i].Models = order.Models
			}
		}
	}
	return orders
}

func copies(list []Engine, model string) int {
	count := 0
	for _, engine := range list {
		if slices.Contains(engine.Models, model) {
			count++
		}
	}
	return count
}

func TestModelWithoutACopyIsLoadedInEachZoneFirst(t *testing.T) {
	is := is.New(t)
	list := engines(9, "a")
	runPlanner(NewPlanner(), list, map[string]float64{
		"a": 1,
		"b": 1,
	}, 65*time.Second)
	zones := map[string]bool{}
	for _, engine := range list {
		if slices.Contains(engine.Models, "b") {
			zones[engine.AvailabilityZone] = true
		}
	}
	is.Equal(len(zones), 3)
}

func TestPlanConverges(t *testing.T) {
	is := is.New(t)
	list := engines(9, "a", "b")
	p := NewPlanner()
	orders := runPlanner(p, list, map[string]float64{
		"a": 8,
		"b": 1,
		"c": 4,
	}, 10*time.Minute)
	t.Logf("%d orders; copies: a %d, b %d, c %d", orders, copies(list, "a"), copies(list, "b"), copies(list, "c"))
	is.True(orders <= 18) // At most one order for each of the 18 model slots.
	is.True(copies(list, "a") >= copies(list, "b"))
	is.True(copies(list, "b") >= 1)
	is.True(copies(list, "c") >= 3)
	again := runPlanner(p, list, map[string]float64{
		"a": 8,
		"b": 1,
		"c": 4,
	}, 10*time.Minute)
	is.Equal(again, 0) // The same demand needs no further order.
}

func TestLoadsRespectTheInterval(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	list := engines(9)
	orders := runPlanner(p, list, map[string]float64{"a": 1}, time.Minute)
	is.Equal(orders, int(time.Minute/DefaultLoadInterval))
}

func TestLeavingEnginesAndOldReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	list := engines(1)
	list[0].Leaving = true
	p.Report("entry-1", demand(map[string]float64{"a": 1}), start)
	_, due := p.Plan(list, start)
	is.True(!due)
	_, due = p.Plan(engines(1), start.Add(2*reportLifetime))
	is.True(!due)
}

func TestMeterWeighsHigherTiersMore(t *testing.T) {
	is := is.New(t)
	m := NewMeter(start)
	for range 600 {
		m.Count("a", 0)
		m.Count("b", 2)
	}
	rates := m.Rates(start.Add(time.Minute))
	is.Equal(len(rates), 2)
	is.True(rates[0].Weight > 3.9*rates[1].Weight)
}

// TestMeteredModelsAreBounded guards against a row, here and in the report to the lease holder, for each name that callers
// make up; the models in demand are still measured.
func TestMeteredModelsAreBounded(t *testing.T) {
	is := is.New(t)
	now := start
	m := NewMeter(now)
	for round := range 4 {
		for range 10 {
			m.Count("planner", 0)
		}
		for i := range 2 * maxMeteredModels {
			m.Count(fmt.Sprint("made-up-", round, "-", i), 0)
		}
		is.True(len(m.counts) <= maxMeteredModels)
		now = now.Add(DefaultLoadInterval)
		demands := m.Rates(now)
		is.True(len(demands) <= maxMeteredModels)
		is.True(slices.ContainsFunc(demands, func(d wire.ModelDemand) bool { return d.Model == "planner" }))
	}
}
