package origin

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "update the golden file")

const modelStreams = 300

// modelPolicy is where the origins of streams are kept.
type modelPolicy struct {
	name string
	// told and asked return the nodes to tell and to ask of a number of nodes.
	told, asked func(nodes int) int
}

func constant(n int) func(int) int { return func(int) int { return n } }

func everyNode(nodes int) int { return nodes }

var modelPolicies = []modelPolicy{
	{
		name:  "first node alone, all are asked",
		told:  constant(0),
		asked: everyNode,
	},
	{
		name:  "all nodes are told",
		told:  everyNode,
		asked: constant(1),
	},
	{
		name:  "1 keeper",
		told:  constant(1),
		asked: constant(2),
	},
	{
		name:  "2 keepers",
		told:  constant(2),
		asked: constant(4),
	},
	{
		name:  "3 keepers",
		told:  constant(keepers),
		asked: constant(asked),
	},
	{
		name:  "4 keepers",
		told:  constant(4),
		asked: constant(8),
	},
}

// modelFault returns whether a node is lost; the first node always is.
type modelFault struct {
	name string
	lost func(random *rand.Rand, first, node Node) bool
	// joined is the share of the nodes that join after the streams began.
	joined float64
}

var modelFaults = []modelFault{
	{
		name: "first node",
		lost: func(*rand.Rand, Node, Node) bool { return false },
	},
	{
		name: "its zone",
		lost: func(_ *rand.Rand, first, node Node) bool { return first.AvailabilityZone == node.AvailabilityZone },
	},
	{
		name: "60 % of all",
		lost: func(random *rand.Rand, _, _ Node) bool { return random.Float64() < 0.6 },
	},
	{
		name:   "first node, others join",
		lost:   func(*rand.Rand, Node, Node) bool { return false },
		joined: 0.25,
	},
}

// known returns the share of the streams whose origin is found after a fault.
func (p modelPolicy) known(seed uint64, nodes []Node, fault modelFault) float64 {
	random := rand.New(rand.NewPCG(seed, 32))
	known, takenUp := 0, 0
	for range modelStreams {
		began := nodes[random.IntN(len(nodes))]
		joined := map[string]bool{}
		var before, after []Node
		for _, node := range nodes {
			if node != began && random.Float64() < fault.joined {
				joined[node.Name] = true
			} else {
				before = append(before, node)
			}
			if node != began && !fault.lost(random, began, node) {
				after = append(after, node)
			}
		}
		if len(after) == 0 {
			continue
		}
		takenUp++
		stream := NewID(fmt.Sprint(random.Uint64()))
		others := slices.DeleteFunc(before, func(n Node) bool { return n == began })
		told := rank(stream, others, p.told(len(nodes)))
		candidates := append(rank(stream, after, p.asked(len(nodes))), after[random.IntN(len(after))].Name)
		if slices.ContainsFunc(candidates, func(name string) bool { return slices.Contains(told, name) }) {
			known++
		}
	}
	if takenUp == 0 {
		return 1 // no node is left to take a stream up
	}
	return float64(known) / float64(takenUp)
}

// TestWhereOriginsAreKept compares the ways to keep the origins of streams on sites of 2 to 195 nodes: the share that is found
// after the first node was lost with others, and the reports that each node gets for each stream that begins at a node. The
// keepers in use must find three quarters in any case.
func TestWhereOriginsAreKept(t *testing.T) {
	is := is.New(t)
	var table strings.Builder
	for _, nodes := range []int{2, 3, 9, 66, 195} {
		all := site(min(6, max(nodes/3, 1)), nodes)
		for _, policy := range modelPolicies {
			fmt.Fprintf(&table, "%3d nodes, %s: %d reports a stream, %d asked;", nodes, policy.name,
				min(policy.told(nodes), nodes-1), min(policy.asked(nodes), nodes-1))
			for i, fault := range modelFaults {
				known := policy.known(uint64(i), all, fault)
				fmt.Fprintf(&table, " %s %.2f", fault.name, known)
				if inUse := policy.told(nodes) == keepers; inUse && nodes > 3 {
					is.True(known >= 0.75)
				}
			}
			table.WriteString("\n")
		}
	}
	golden := filepath.Join("testdata", "where-origins-are-kept.txt")
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(table.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(table.String(), string(want))
}
