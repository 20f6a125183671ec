package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLogIsBounded guards against a log that a node that starts can't read at once, more appends than one each 200 ms, and
// streams that are lost with an append that failed.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	var l Log
	l.Add(report(NewID("first"), first, 0))
	_, _, due := l.Due(start)
	is.True(!due) // which slots are in use is not known
	l.Continue(map[int]int{510: 1000, 511: 1000}, 511)
	now := start
	batch, slot, due := l.Due(now)
	is.True(due)
	is.Equal(len(batch), 1)
	is.Equal(slot, 0)
	l.Done(false, 100, nil, now)
	_, _, due = l.Due(now.Add(logRetryDelay - 1))
	is.True(!due)
	used := map[int]int{}
	for i := range 3 * logSlots {
		now = now.Add(logRetryDelay)
		l.Add(report(NewID(fmt.Sprint(i)), first, 0))
		batch, slot, due = l.Due(now)
		is.True(due)
		is.Equal(len(batch), 1+max(1-i, 0)) // the one that failed comes with the first
		is.Equal(slot, i%logSlots)
		const size = maxLogBytes / 100
		emptied := l.Excess(size)
		l.Done(true, size, emptied, now)
		for _, oldest := range emptied {
			delete(used, oldest)
		}
		used[slot] = size
		is.True(len(used)*size <= maxLogBytes)
		l.Add(report(NewID("soon"), first, 0))
		_, _, due = l.Due(now.Add(LogInterval - 1))
		is.True(!due)
		l.pending = nil
	}
	for range 2 * maxPendingStreams {
		l.Add(report(NewID("many"), first, 0))
	}
	is.Equal(l.Pending(), maxPendingStreams)
}

// TestRecordOfARestoredStoreIsNotReliedOn guards against taking a record for complete that lacks what was written after the copy
// was made.
func TestRecordOfARestoredStoreIsNotReliedOn(t *testing.T) {
	is := is.New(t)
	keys := 0
	r := Record{NewKey: func() string {
		keys++
		return fmt.Sprint(keys)
	}}
	r.Read(nil, 0)
	is.True(r.Complete("engines")) // no version has served yet
	r.Want("engines", "v1")
	r.Want("engines", "v1")
	due := r.Due(start)
	is.Equal(len(due), 1)
	r.Done(false, start)
	is.Equal(len(r.Due(start.Add(minRecordBackoff-1))), 0)
	due = r.Due(start.Add(minRecordBackoff))
	is.Equal(len(due), 1)
	r.Done(true, start.Add(time.Second))
	is.True(r.Has("engines", "v1"))

	r.Read(due, 1)
	is.True(!r.Complete("engines"))
	r.Want("engines", "v2")
	due = r.Due(start.Add(time.Second))
	is.True(!due[0].Complete)
	r.Done(true, start.Add(time.Second))
	is.True(!r.Complete("engines"))
	r.WantAll("engines", []string{"v1", "v2"})
	is.Equal(len(r.Due(start.Add(time.Second))), 2)
	r.Done(true, start.Add(time.Second))
	is.True(r.Complete("engines"))
	is.True(!r.Complete("others"))

	r.Remove("engines", "v1")
	removed := r.Due(start.Add(time.Second))
	r.Done(true, start.Add(time.Second))
	is.Equal(len(removed), 2) // the entries of both eras
	is.True(!r.Has("engines", "v1"))
	r.Told(due, start.Add(time.Second))
	is.True(r.BeingWritten("engines", "v2", start.Add(time.Second)))
	is.True(!r.BeingWritten("engines", "v2", start.Add(time.Second+toldTime)))
}

// TestEarlyBatchesAreFewAndApart guards against nodes that start together and overwrite each other's streams, and against more
// appends than the store takes of them all.
func TestEarlyBatchesAreFewAndApart(t *testing.T) {
	is := is.New(t)
	keys := map[int]int{}
	for node := range 300 {
		var l EarlyLog
		now, appends := start, 0
		for i := range 100 { // one stream each 10 ms
			l.Add(report(NewID(fmt.Sprint(i)), first, 0), now)
			if batch, key, due := l.Due(now); due {
				appends++
				is.True(IsEarly(key))
				is.True(len(batch) > 0)
				other, used := keys[key]
				is.True(!used || other == node)
				keys[key] = node
				l.Done(i > 20, 300, now)
			}
			now = now.Add(10 * time.Millisecond)
		}
		for _, key := range l.Written() {
			is.Equal(keys[key], node)
		}
		is.True(appends >= 1)
		is.True(appends <= 3) // 300 nodes know of each other after the first
		l.Retire()
		_, waiting := l.Waiting()
		is.True(!waiting)
	}
}
