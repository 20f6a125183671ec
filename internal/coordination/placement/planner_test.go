package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var begin = time.Unix(1_700_000_000, 0)

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

// settle carries out plans until none is left or the limit is reached, and returns how many there were.
func settle(p *Planner, list []Engine, weights map[string]float64, limit time.Duration) int {
	orders := 0
	for passed := time.Duration(0); passed < limit; passed += time.Second {
		now := begin.Add(passed)
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
	settle(NewPlanner(), list, map[string]float64{
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

func TestChangesAreFewAndEnd(t *testing.T) {
	is := is.New(t)
	list := engines(9, "a", "b")
	p := NewPlanner()
	orders := settle(p, list, map[string]float64{
		"a": 8,
		"b": 1,
		"c": 4,
	}, 10*time.Minute)
	t.Logf("%d orders; copies: a %d, b %d, c %d", orders, copies(list, "a"), copies(list, "b"), copies(list, "c"))
	is.True(orders <= 18) // at most each place once
	is.True(copies(list, "a") >= copies(list, "b"))
	is.True(copies(list, "b") >= 1)
	is.True(copies(list, "c") >= 3)
	again := settle(p, list, map[string]float64{
		"a": 8,
		"b": 1,
		"c": 4,
	}, 10*time.Minute)
	is.Equal(again, 0) // the same demand asks for nothing more
}

func TestLoadsKeepTheirInterval(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	list := engines(9)
	orders := settle(p, list, map[string]float64{"a": 1}, time.Minute)
	is.Equal(orders, int(time.Minute/DefaultLoadInterval))
}

func TestLeavingEnginesAndOldReportsDoNotCount(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	list := engines(1)
	list[0].Leaving = true
	p.Report("entry-1", demand(map[string]float64{"a": 1}), begin)
	_, due := p.Plan(list, begin)
	is.True(!due)
	_, due = p.Plan(engines(1), begin.Add(2*reportLife))
	is.True(!due)
}

func TestMeterWeighsHigherTiersMore(t *testing.T) {
	is := is.New(t)
	m := NewMeter(begin)
	for range 600 {
		m.Count("a", 0)
		m.Count("b", 2)
	}
	rates := m.Rates(begin.Add(time.Minute))
	is.Equal(len(rates), 2)
	is.True(rates[0].Weight > 3.9*rates[1].Weight)
}
