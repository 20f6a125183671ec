package origins_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
)

// watchedTopic is a topic that calls onSave before each append.
type watchedTopic struct {
	recordTopic
	onSave func()
}

func (w *watchedTopic) Save(ctx context.Context, records []wire.FeedRecord) error {
	w.onSave()
	return w.recordTopic.Save(ctx, records)
}

// TestStreamsAreLoggedBeforeASecondVersionIsRecorded guards against a loss of all nodes right after a second version was recorded:
// the record shows two versions then, and nothing at which of them the streams had begun.
func TestStreamsAreLoggedBeforeASecondVersionIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &recordTopic{}
		record := &watchedTopic{onSave: func() {}}
		s := newNode(nil)
		s.VersionRecord, s.StreamLog = record, log
		s.Tell = func(context.Context, string, []origin.Report) error { return nil }
		began := origin.Origin{
			Pool:    "s",
			Version: "v1",
		}
		s.TellVersions = func(context.Context, string, []origin.Entry) error { // the peer tells of its stream before it answers
			s.Told([]origin.Report{{
				Stream: origin.NewID("of-the-peer"),
				Origin: began,
			}})
			return nil
		}
		tickFor(s, 3*time.Second)
		s.Began("own", began)
		var logged []wire.FeedRecord
		record.onSave = func() { logged = log.copied() }
		s.Admit(t.Context(), map[string][]string{"s": {"v2"}})
		is.True(s.Recorded("s", "v2"))

		next := newNode(&record.recordTopic) // all nodes are lost, and this one starts
		next.StreamLog = &recordTopic{saved: logged}
		next.Ask = func(context.Context, string, origin.ID) (origin.Answer, error) { return origin.Answer{}, errLost }
		tickFor(next, 250*time.Millisecond)
		for _, id := range []string{"own", "of-the-peer"} {
			found, known := next.Find(t.Context(), id, "s")
			is.True(known)
			is.Equal(found.Version, "v1")
		}
		s.Stop(t.Context())
		next.Stop(t.Context())
	})
}

// TestLogThatFailsDelaysNoVersionForLong guards against a version that is not listed because the streams of the former one can't be
// logged.
func TestLogThatFailsDelaysNoVersionForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNode(&recordTopic{})
		s.StreamLog = &recordTopic{
			readErr: errLost,
			saveErr: errLost,
		}
		s.Tell = func(context.Context, string, []origin.Report) error { return nil }
		s.TellVersions = func(context.Context, string, []origin.Entry) error { return nil }
		tickFor(s, 3*time.Second)
		s.Began("r1", origin.Origin{
			Pool:    "s",
			Version: "v1",
		})
		began := time.Now()
		s.Admit(t.Context(), map[string][]string{"s": {"v2"}})
		is.True(s.Recorded("s", "v2"))
		is.True(time.Since(began) < 400*time.Millisecond)
		s.Stop(t.Context())
	})
}

// TestNodeTellsTheWriterOfItsStreamsBeforeItAnswers guards against streams that the writer does not know when a second version is
// recorded, since they were told to their keepers alone.
func TestNodeTellsTheWriterOfItsStreamsBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const streams = 20
		s := newNode(&recordTopic{})
		s.StreamLog = &recordTopic{}
		s.Writer = func() string { return "b" }
		s.Nodes = func() (nodes []origin.Node) {
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				nodes = append(nodes, origin.Node{Name: name})
			}
			return nodes
		}
		told := make(chan origin.Report, 100*streams)
		s.Tell = func(_ context.Context, node string, reports []origin.Report) error {
			time.Sleep(20 * time.Millisecond)
			for _, report := range reports {
				if node == "b" {
					told <- report
				}
			}
			return nil
		}
		tickFor(s, time.Second)
		for i := range streams {
			s.Began(strconv.Itoa(i), origin.Origin{
				Pool:    "s",
				Version: "v1",
			})
		}
		tickFor(s, time.Second)
		is.True(len(told) < streams) // some have other keepers
		began := time.Now()
		s.ToldVersions(t.Context(), []origin.Entry{{
			Key:     "k2",
			Pool:    "s",
			Version: "v2",
		}})
		is.Equal(len(told), streams)
		is.True(time.Since(began) < 100*time.Millisecond)
		s.Stop(t.Context())
	})
}

func (r *recordTopic) copied() []wire.FeedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]wire.FeedRecord(nil), r.saved...)
}
