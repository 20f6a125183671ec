package origin

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func newRecord() *Record {
	keys := 0
	return &Record{NewKey: func() string {
		keys++
		return fmt.Sprint("key-", keys)
	}}
}

// TestToldEntriesAreNotTakenForRecorded guards against a version that no node writes because one that was lost before it wrote
// it had told the others, and against a removal that never reached the store and is not repeated.
func TestToldEntriesAreNotTakenForRecorded(t *testing.T) {
	is := is.New(t)
	r := newRecord()
	r.Read(nil, 1)
	entry := Entry{
		Key:      "told",
		Pool:     "engines",
		Version:  "v1",
		Era:      1,
		Complete: true,
	}
	r.Told([]Entry{entry}, start)
	is.True(!r.Has("engines", "v1"))
	is.True(!r.Complete("engines"))
	is.Equal(r.Versions()["engines"], []string{"v1"}) // the store may hold it

	r.Told(Confirmed([]Entry{entry}), start)
	r.Told([]Entry{entry}, start) // the first message arrives last
	is.True(r.Has("engines", "v1"))
	is.True(r.Complete("engines"))

	gone := entry
	gone.Gone = true
	r.Told([]Entry{gone}, start)
	is.True(!r.Has("engines", "v1"))
	r.Remove("engines", "v1")
	due := r.Due(start)
	is.Equal(due, []Entry{gone})
	r.Done(true, start)
	is.Equal(len(r.Versions()), 0)
	r.Told(Confirmed([]Entry{gone}), start)
	is.Equal(len(r.Versions()), 0)
}
