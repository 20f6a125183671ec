package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var settings = Settings{
	Boot:        4 * time.Second,
	Utilization: 0.5,
}

// TestRefusedRequestsCount guards against too few upstreams for a load of which a part is refused and so causes no work.
func TestRefusedRequestsCount(t *testing.T) {
	for share, upstreams := range map[float64]int{0: 20, 0.2: 25, 0.5: 40, 1: 40} {
		is := is.New(t)
		var f forecast
		now := time.Unix(1000, 0)
		f.add(now, Demand{
			Engines:      20,
			RefusedShare: share,
		}, true, settings)
		is.Equal(f.upstreams(now, settings), upstreams)
	}
}

// TestMemoryCounts guards against too few engines for requests that need little work and much memory.
func TestMemoryCounts(t *testing.T) {
	is := is.New(t)
	var f forecast
	now := time.Unix(1000, 0)
	f.add(now, Demand{
		Engines:  2,
		Requests: 100,
		Slots:    64,
		Tokens:   30 * 580_000,
		Memory:   580_000,
	}, true, settings)
	is.Equal(f.upstreams(now, settings), 40) // 30 engines full of prompts, at 3/4 of the memory
}
