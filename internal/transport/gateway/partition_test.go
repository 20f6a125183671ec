package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// firstTries counts the first tries of callers at some nodes.
type firstTries struct {
	served, all int
}

func (f firstTries) String() string { return fmt.Sprintf("%d of %d", f.served, f.all) }

// tryNodes sends requests to all nodes in turn for a while, streams and orders, and returns how many of the first tries were
// served at the partitioned nodes and at the others.
func (c *crashSite) tryNodes(t *testing.T, length time.Duration) (partitioned, others firstTries) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, until := 0, time.Now().Add(length); time.Now().Before(until); i++ {
		number := i % siteNodes
		group.Go(func() {
			path := "/resumable/x"
			if i/siteNodes%2 == 1 {
				path = "/unsafe/x"
			}
			c.mu.Lock()
			_, cut := c.partitions[number]
			c.mu.Unlock()
			got := c.node(number).call(t.Context(), path, "{}", map[string]string{
				"X-Lagoongw-Prompt-Prefix": fmt.Sprintf(soundPrompt, i),
			})
			mu.Lock()
			defer mu.Unlock()
			tries := &others
			if cut {
				tries = &partitioned
			}
			tries.all++
			if got.status == http.StatusOK && got.whole {
				tries.served++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return partitioned, others
}

// answerPlainOrStream answers an order at once and others with a stream.
func answerPlainOrStream(_ string, conn net.Conn, r *http.Request) bool {
	if strings.HasPrefix(r.URL.Path, "/unsafe/") {
		return answer(http.StatusOK, "done")(conn, r)
	}
	return longStream(conn, r)
}

// TestNodesThatReachNoUpstreamServeTheirCallers guards against entry VMs that refuse their callers since they reach no
// upstream, though other entry VMs do, and against such a partition being taken for upstreams that are down or crash.
func TestNodesThatReachNoUpstreamServeTheirCallers(t *testing.T) {
	for name, c := range map[string]struct {
		nodes []int
		how   partition
	}{
		"some nodes, connects hang":         {nodes: []int{1, 3}},
		"some nodes, connects are refused":  {nodes: []int{1, 3}, how: partition{refused: true}},
		"some nodes, open connections live": {nodes: []int{1, 3}, how: partition{halfOpen: true}},
		"some nodes, half open and refused": {nodes: []int{1, 3}, how: partition{refused: true, halfOpen: true}},
		"most nodes, connects hang":         {nodes: []int{0, 1, 2, 3}},
		"most nodes, connects are refused":  {nodes: []int{0, 1, 2, 3}, how: partition{refused: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newCrashSite(t)
				site.answer = answerPlainOrStream
				time.AfterFunc(contactTime, func() {
					for _, number := range c.nodes {
						site.partitionFromEngines(number, c.how)
					}
				})
				_, others := site.tryNodes(t, 2*contactTime)
				is.True(others.served >= others.all*9/10) // the partition of others is no fault of the upstreams

				partitioned, others := site.tryNodes(t, 8*time.Second)
				t.Logf("first tries: at partitioned nodes %v, at the others %v", partitioned, others)
				is.True(!strings.Contains(site.log.String(), "upstream crashed")) // a partition is no crash
				is.True(others.served >= others.all*9/10)
				is.True(partitioned.served*others.all >= others.served*partitioned.all*2/3)
				site.healPartitions()
				time.Sleep(contactTime)
				_, others = site.tryNodes(t, contactTime)
				is.True(others.served >= others.all*9/10)
			})
		})
	}
}
