package duties

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/duty"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

// fakeLog is a topic of a store in memory.
type fakeLog struct {
	mu      sync.Mutex
	records map[string]wire.FeedRecord
	end     int
	era     int
	reads   int
	// lost is how many of the next appends are executed without an answer.
	lost int
	down bool
	// noTopic has the store answer that it does not have the topic until something was appended.
	noTopic bool
}

var errDown = errors.New("store is down")

func (l *fakeLog) Newest(context.Context) (catalog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return catalog.Batch{}, errDown
	}
	l.reads++
	if l.noTopic && l.end == 0 {
		return catalog.Batch{Era: l.era}, catalog.ErrNoTopic
	}
	batch := catalog.Batch{
		Next: l.end,
		Era:  l.era,
	}
	for _, record := range l.records {
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

func (l *fakeLog) AppendAt(_ context.Context, at int, record wire.FeedRecord) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down:
		return 0, errDown
	case at != l.end:
		return 0, ErrConflict
	}
	record.Offset = l.end
	l.records[record.Key] = record
	l.end++
	if l.lost > 0 {
		l.lost--
		return 0, errDown
	}
	return l.era, nil
}

// value returns the newest value of a key.
func (l *fakeLog) value(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[key].Value
}

// counts returns the reads and the end of the topic.
func (l *fakeLog) counts() (reads, end int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.end
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// site is a number of nodes with one topic; node i runs until its context is cancelled.
type site struct {
	log   *fakeLog
	nodes []*Service
	stop  []context.CancelFunc
	lines *strings.Builder
}

// startSite is to be called in a synctest bubble.
func startSite(t *testing.T, nodes int) *site {
	s := &site{
		log:   &fakeLog{records: map[string]wire.FeedRecord{}},
		lines: &strings.Builder{},
	}
	logger := zerolog.New(zerolog.SyncWriter(s.lines))
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	for _, name := range names {
		node := &Service{
			Name:  name,
			Log:   s.log,
			Lease: 3 * time.Second,
			Live:  func() []string { return names },
			Clocks: func() (duty.Reading, bool) {
				return duty.Reading{
					Boot: time.Duration(time.Now().UnixNano()),
					Wall: time.Now().Round(0),
				}, true
			},
			Logger: logger,
		}
		node.Prepare()
		ctx, cancel := context.WithCancel(t.Context())
		s.nodes = append(s.nodes, node)
		s.stop = append(s.stop, cancel)
		go node.Run(ctx)
	}
	return s
}

func (s *site) close() {
	for _, stop := range s.stop {
		stop()
	}
	synctest.Wait()
}

// holder returns the only node that holds the lease, nil for none.
func (s *site) holder(t *testing.T) *Service {
	t.Helper()
	var holder *Service
	for _, node := range s.nodes {
		if _, held := node.Held(); !held {
			continue
		}
		if holder != nil {
			t.Fatal("two nodes hold the lease")
		}
		holder = node
	}
	return holder
}

// A node that stops must release the lease, so that another one has it without waiting for its end, with all records.
func TestLeaseMovesWithTheRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 3)
		defer s.close()
		time.Sleep(10 * time.Second)
		first := s.holder(t)
		is.NoErr(first.Save(t.Context(), "usage-1", []byte("x")))
		is.NoErr(first.Save(t.Context(), "usage-1", []byte("y")))
		number, _ := first.Held()
		is.Equal(len(first.Records()), 0) // there were none when it gained the lease
		first.Release()
		synctest.Wait()
		is.True(strings.Contains(s.log.value(leaseKey), `"released":true`))
		is.Equal(first.Status().Holder, "")
		time.Sleep(6 * time.Second)
		second := s.holder(t)
		is.True(second != nil && second != first)
		later, _ := second.Held()
		is.True(later > number)
		is.Equal(second.Records(), map[string][]byte{"usage-1": []byte("y")})
		is.Equal(first.Save(t.Context(), "usage-1", []byte("z")), ErrNotHolder)
		s.close()
		is.True(strings.Contains(s.lines.String(), `"decision":"duty"`))
	})
}

// A store may not have the topic before the first append. That must count as an empty topic of the store's era: otherwise no
// node ever holds the lease, or its first number is below those from before a restore.
func TestTopicWithoutRecordsIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 2)
		defer s.close()
		s.log.set(func() { s.log.noTopic, s.log.era = true, 3 })
		time.Sleep(10 * time.Second)
		holder := s.holder(t)
		is.True(holder != nil)
		number, _ := holder.Held()
		is.Equal(number, 3<<40|1)
		is.True(!strings.Contains(s.lines.String(), "call to the store failed"))
	})
}

// A node that was replaced must learn it at its next write, before its lease ends, and an append of its own that had no
// answer must not cost it the lease.
func TestSaveIsConditional(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 1)
		defer s.close()
		time.Sleep(10 * time.Second)
		node := s.holder(t)
		s.log.set(func() { s.log.lost = 1 })
		is.True(errors.Is(node.Save(t.Context(), "usage-1", []byte("x")), errDown))
		is.NoErr(node.Save(t.Context(), "usage-1", []byte("y")))
		s.log.set(func() { s.log.end++ }) // a late append of another key
		is.NoErr(node.Save(t.Context(), "usage-1", []byte("z")))
		s.log.set(func() {
			s.log.records[leaseKey] = wire.FeedRecord{
				Key:    leaseKey,
				Value:  `{"holder":"b","boot":1,"claim":true,"number":900,"released":false}`,
				Offset: s.log.end,
			}
			s.log.end++
		})
		is.True(errors.Is(node.Save(t.Context(), "usage-1", []byte("late")), ErrNotHolder))
		_, held := node.Held()
		is.True(!held)
		is.Equal(s.log.value("usage-1"), "z")
		is.Equal(node.Status().Holder, "b")
	})
}

// While the store is down the holder must stop by itself within the lease, and go on with its number when the store is back
// and nobody has claimed.
func TestHolderStopsWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 1)
		defer s.close()
		time.Sleep(10 * time.Second)
		number, held := s.nodes[0].Held()
		is.True(held)
		s.log.set(func() { s.log.down = true })
		time.Sleep(2500 * time.Millisecond)
		is.True(s.holder(t) == nil)
		is.True(s.nodes[0].Status().Held && !s.nodes[0].Status().InForce)
		s.log.set(func() { s.log.down = false })
		time.Sleep(time.Second)
		again, held := s.nodes[0].Held()
		is.True(held)
		is.Equal(again, number)
	})
}

// Nodes that hear the holder must not read the topic: on a large site that would be hundreds of reads a second.
func TestQuietSiteDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 20)
		defer s.close()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			s.tellAll()
		}
		is.True(s.holder(t) != nil)
		reads, end := s.log.counts()
		for range 60 {
			time.Sleep(time.Second)
			s.tellAll()
		}
		readsAfter, endAfter := s.log.counts()
		is.Equal(readsAfter, reads)
		is.True(endAfter-end <= 60)
	})
}

func (s *site) tellAll() {
	for _, node := range s.nodes {
		number, held := node.Held()
		for _, other := range s.nodes {
			if held && other != node {
				other.Heard(node.Name, number)
			}
		}
	}
}

// Calls need the lease, and a platform API that answers no call within 3 s must cost the holder the lease.
func TestCallsWithoutAnswerEndTheHoldership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 2)
		defer s.close()
		time.Sleep(10 * time.Second)
		node := s.holder(t)
		number, _ := node.Held()
		send := func(err error) func(context.Context) error {
			return func(context.Context) error {
				time.Sleep(time.Second)
				return err
			}
		}
		is.NoErr(node.Call(t.Context(), number, send(nil)))
		is.Equal(node.Call(t.Context(), number-1, send(nil)), ErrNotHolder)
		is.Equal(node.Call(t.Context(), number, send(ErrBusy)), ErrBusy)
		is.Equal(node.Call(t.Context(), number, func(context.Context) error {
			t.Error("a call was sent during the back-off")
			return nil
		}), ErrBusy)
		began := time.Now()
		for errors.Is(node.Call(t.Context(), number, send(errDown)), ErrBusy) || time.Since(began) < 4*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		_, held := node.Held()
		is.True(!held)
		time.Sleep(8 * time.Second)
		is.True(s.holder(t) != nil && s.holder(t) != node)
	})
}

// A platform API that answers each call with an error is reachable: the holder must keep the lease. Only an API that fails
// must get fewer calls, since another call may be accepted after one that was rejected.
func TestAnsweredCallsKeepTheLease(t *testing.T) {
	for _, c := range []struct {
		answer error
		next   error
	}{
		{answer: ErrRejected},
		{answer: ErrFailed, next: ErrBusy},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, 1)
			defer s.close()
			time.Sleep(10 * time.Second)
			node := s.holder(t)
			number, _ := node.Held()
			for range 20 {
				err := node.Call(t.Context(), number, func(context.Context) error { return c.answer })
				is.Equal(err, c.answer)
				is.Equal(node.Call(t.Context(), number, func(context.Context) error { return nil }), c.next)
				time.Sleep(4100 * time.Millisecond)
			}
			again, held := node.Held()
			is.True(held)
			is.Equal(again, number)
		})
	}
}

// The clocks of the machine must be readable and count from a start in the past.
func TestClocksOfTheMachine(t *testing.T) {
	is := is.New(t)
	reading, readable := readClocks()
	is.True(readable)
	is.True(reading.Boot > 0)
	is.True(!reading.Wall.IsZero())
}

// A lease record that can't be decoded must count as another node's lease.
func TestUndecodableLeaseCountsAsALease(t *testing.T) {
	is := is.New(t)
	view, records := decode(catalog.Batch{
		Records: []wire.FeedRecord{
			{Key: leaseKey, Value: `{"holder":"a","released":true`, Offset: 4},
			{Key: "usage-0", Value: "x"},
		},
		Next: 6,
		Era:  1,
	})
	is.Equal(view, duty.View{
		End:    6,
		Era:    1,
		Found:  true,
		Offset: 4,
	})
	is.Equal(len(records), 1)
}
