package dispatch

import (
	"fmt"
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

// BenchmarkChoose measures Choose for pools of up to 600 engines, the size that the users plan for in two years.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{9, 60, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table := replica.NewTable()
			var rows []wire.Machine
			for i := range engines {
				rows = append(rows, newMachine(fmt.Sprint(i), "p"))
			}
			table.Update(rows)
			d := &Dispatcher{
				Table: table,
				Nodes: func() int { return 1 },
				Pool:  func(string) (route.Pool, bool) { return route.Pool{Engine: &route.Engine{}}, true },
			}
			request := Request{
				Pool: "p",
				Prompt: prompt.Prompt{
					{
						ID:     1,
						Tokens: 13300,
					},
					{
						ID:     2,
						Tokens: 3720,
					},
				},
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				d.Choose(request, 7, now)
			}
		})
	}
}
