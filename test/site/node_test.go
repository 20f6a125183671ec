package site

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestSitesHaveNetworksOfTheirOwn guards against two sites whose nodes listen on the same addresses, and take each other for
// peers: the number of a site in its process was added to the process ID, so that those of two processes met.
func TestSitesHaveNetworksOfTheirOwn(t *testing.T) {
	is := is.New(t)
	settings := Settings{
		Nodes: 1,
		Zones: 1,
	}
	before := networks.Load()
	first := NewNodes(t, settings)
	networks.Store(before) // as in a process whose ID and number add up to the same
	second := NewNodes(t, settings)
	host := func(n *Node) string {
		host, _, err := net.SplitHostPort(n.Callers)
		is.NoErr(err)
		return host
	}
	is.True(host(first[0]) != host(second[0]))
}
