package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

func routesUpdate(size int) wire.FeedUpdate {
	return wire.FeedUpdate{
		Topic:     "routes",
		Era:       1,
		FreshFrom: 2,
		From:      3,
		Next:      4,
		Records:   []wire.FeedRecord{{Key: "config", Value: strings.Repeat(`{"a":"é"}`, size/10), Offset: 3}},
	}
}

func TestPackedUpdateIsSmallAndUnpacksUnchanged(t *testing.T) {
	is := is.New(t)
	update := routesUpdate(500_000)
	packed, err := Pack(update)
	is.NoErr(err)
	is.True(Size(packed) < Size(update)/5)
	age := 700
	packed.Sender, packed.AgeMs = "vm-1", &age
	unpacked, err := Unpack(packed)
	is.NoErr(err)
	update.Sender, update.AgeMs = "vm-1", &age
	is.Equal(unpacked, update)
}

// TestPackedUpdateShowsFormerBuildsAGap guards against nodes of a former build that take a packed update, whose records they
// don't see, for all there is.
func TestPackedUpdateShowsFormerBuildsAGap(t *testing.T) {
	is := is.New(t)
	packed, err := Pack(routesUpdate(1000))
	is.NoErr(err)
	packed.Packed, packed.Coming = "", false // unknown fields are ignored
	is.Equal(packed, Omit(routesUpdate(1000)))
	is.True(packed.Omitted)
	is.Equal(packed.From, packed.Next)
}

func TestOddPackedUpdatesAreRefused(t *testing.T) {
	packed, err := Pack(routesUpdate(1000))
	if err != nil {
		t.Fatal(err)
	}
	var bomb bytes.Buffer
	compressor := gzip.NewWriter(&bomb)
	_, _ = compressor.Write([]byte(`{"topic":"routes","sender":"` + strings.Repeat("0", maxUnpackedBytes) + `"}`))
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*wire.FeedUpdate){
		"no base64":     func(u *wire.FeedUpdate) { u.Packed = "?" + u.Packed },
		"no gzip":       func(u *wire.FeedUpdate) { u.Packed = "AAAA" },
		"cut off":       func(u *wire.FeedUpdate) { u.Packed = u.Packed[:len(u.Packed)/2] },
		"another topic": func(u *wire.FeedUpdate) { u.Topic = "upstreams" },
		"too large":     func(u *wire.FeedUpdate) { u.Packed = base64.StdEncoding.EncodeToString(bomb.Bytes()) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			odd := packed
			change(&odd)
			_, err := Unpack(odd)
			is.True(errors.Is(err, ErrPacked))
		})
	}
	_, err = Pack(routesUpdate(2 * maxUnpackedBytes))
	is.New(t).True(errors.Is(err, ErrPacked))
}

// TestJoinKeepsAPackedUpdate guards against large routes that a node has to fetch since the next watermark took the place of the
// update that waited for it.
func TestJoinKeepsAPackedUpdate(t *testing.T) {
	is := is.New(t)
	packed, err := Pack(routesUpdate(1000))
	is.NoErr(err)
	packed.PassOn = []string{"vm-2"}
	is.Equal(Join(packed, wire.FeedUpdate{Era: 1, From: 4, Next: 4}, 1000), packed)
	newer := packed
	newer.Next = 9
	is.Equal(Join(packed, newer, 1), newer)
	is.True(Join(packed, wire.FeedUpdate{Era: 1, From: 4, Next: 5}, 1000).Omitted)
	is.True(Join(packed, wire.FeedUpdate{Era: 2, From: 0, Next: 1}, 1000).Omitted)
	is.True(Omit(packed).Coming) // the nodes that it is passed on to wait for it
	is.True(!Omit(routesUpdate(10)).Coming)
}

// TestBranchesReachEachNodeOnce passes an update on from node to node, and checks that each gets it once, that one copy goes to
// each other availability zone, and that no node sends it to more than a few.
func TestBranchesReachEachNodeOnce(t *testing.T) {
	for _, nodes := range []int{1, 9, 66, 410, 1000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			var all []wire.Member
			for i := range nodes {
				all = append(all, wire.Member{
					Name:             fmt.Sprint("vm-", i),
					AvailabilityZone: fmt.Sprint(i % 6),
				})
			}
			got := map[string]int{}
			abroad := 0
			var pass func(from wire.Member, targets []wire.Member, hops int)
			pass = func(from wire.Member, targets []wire.Member, hops int) {
				branches := Branches(targets, from.AvailabilityZone)
				is.True(len(branches) <= 5+maxBranches)
				is.True(hops <= 4)
				for _, branch := range branches {
					got[branch.Head.Name]++
					if branch.Head.AvailabilityZone != from.AvailabilityZone {
						abroad++
					}
					pass(branch.Head, branch.Rest, hops+1)
				}
			}
			pass(all[0], all[1:], 0)
			is.Equal(len(got), nodes-1)
			for _, times := range got {
				is.Equal(times, 1)
			}
			is.True(abroad <= 5)
		})
	}
}
