package capacity

// Count is the number of upstreams of a kind in a zone.
type Count struct {
	Zone    string
	Spot    bool
	Planned int
	Present int
	Serving int
}

// State is what the last decision was based on and what it planned.
type State struct {
	// Demand is the number of upstreams that the requests need now, Predicted the number that must serve whichever zone
	// loses its spot upstreams, and Wanted the number with those of that zone.
	Demand     float64
	Predicted  int
	Wanted     int
	Present    int
	Serving    int
	KnownShare float64
	// Counts are ordered by zone, on demand first.
	Counts []Count
}

// Count returns the counts of a kind in a zone, zero if the zone is not known.
func (s State) Count(zone string, spot bool) Count {
	for _, count := range s.Counts {
		if count.Zone == zone && count.Spot == spot {
			return count
		}
	}
	return Count{}
}

// Spot returns the number of spot upstreams that are present.
func (s State) Spot() int {
	sum := 0
	for _, count := range s.Counts {
		if count.Spot {
			sum += count.Present
		}
	}
	return sum
}

// State returns the state of the last call of Plan.
func (p *Planner) State() State { return p.state }

func (p *Planner) snapshot(input Input, base int, ideal division) State {
	state := State{
		Demand:     p.forecast.current(),
		Predicted:  base,
		Wanted:     ideal.total(),
		KnownShare: input.KnownShare,
	}
	for _, zone := range p.zones() {
		for _, spot := range []bool{false, true} {
			g := p.group(zone, spot)
			state.Present += g.present
			state.Serving += g.serving
			state.Counts = append(state.Counts, Count{
				Zone:    zone,
				Spot:    spot,
				Planned: g.planned,
				Present: g.present,
				Serving: g.serving,
			})
		}
	}
	return state
}

// current returns the number of upstreams that the demand needs now.
func (f *forecast) current() float64 {
	if len(f.work) == 0 {
		return 0
	}
	last := len(f.work) - 1
	return max(f.work[last].value, f.slots[last].value) + f.backlog
}
