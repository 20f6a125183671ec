package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
)

// TestPartsAreForgottenBeyondTheirBound guards against a map that grows with each part that callers name. A part in use
// stays known.
func TestPartsAreForgottenBeyondTheirBound(t *testing.T) {
	is := is.New(t)
	var index partIndex
	engines := []*upstreamState{{}, {}, {}}
	shared := prompt.Part{ID: 1, Tokens: 10}
	for i := range uint64(5 * MaxPartRecords) {
		at := start.Add(time.Duration(i) * time.Millisecond / 10)
		own := prompt.Part{ID: 100 + i, Tokens: 1}
		index.add(engines[i%3], prompt.Prompt{shared, own}, at)
		is.True(index.holds(engines[i%3], own, at))
		if i >= 3 {
			is.True(index.holds(engines[(i+1)%3], shared, at))
		}
		if i%1000 != 0 {
			continue
		}
		records := 0
		for _, holders := range index.sentAt {
			records += len(holders)
		}
		is.Equal(index.records, records)
		for _, holders := range index.older {
			records += len(holders)
		}
		is.True(records <= MaxPartRecords+len(engines))
	}
	is.True(!index.holds(engines[0], prompt.Part{ID: 100}, start)) // forgotten, though not expired
}
