package outbox

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// text is a message whose newer ones are appended to it; a reduced one is "-".
type text string

func (m text) Size() int { return len(m) }

func (m text) Merge(newer text) text { return m + newer }

func (m text) Reduce() (text, bool) { return "-", m != "drop" }

func TestOneIsInFlightAndOneWaits(t *testing.T) {
	is := is.New(t)
	o := Outbox[text]{MaxBytes: 100}
	lane := Lane{Peer: "a", Kind: "k"}
	send, start := o.Add(lane, "1")
	is.True(start)
	is.Equal(send, text("1"))
	for _, message := range []text{"2", "3"} {
		_, start = o.Add(lane, message)
		is.True(!start)
	}
	_, start = o.Add(Lane{Peer: "b", Kind: "k"}, "4") // another peer is not held up
	is.True(start)
	next, more := o.Done(lane)
	is.True(more)
	is.Equal(next, text("23"))
	_, more = o.Done(lane)
	is.True(!more)
	is.Equal(o.Bytes(), 1)
}

// TestBytesAreBounded adds messages of any size to any lane: the sum of their sizes stays within the limit and one byte
// for each reduced message.
func TestBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Outbox[text]{MaxBytes: 50}
		inFlight := map[Lane]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			lane := Lane{Peer: rapid.StringOfN(rapid.RuneFrom([]rune("abc")), 1, 1, 1).Draw(t, "peer")}
			if inFlight[lane] && rapid.Bool().Draw(t, "done") {
				_, inFlight[lane] = o.Done(lane)
			} else if _, start := o.Add(lane, rapid.SampledFrom(
				[]text{"x", "drop", "twenty bytes of text"}).Draw(t, "message")); start {
				inFlight[lane] = true
			}
			if o.Bytes() > o.MaxBytes+6 || o.Bytes() < 0 {
				t.Fatalf("%d bytes held", o.Bytes())
			}
		}
		for lane, sending := range inFlight {
			for sending {
				_, sending = o.Done(lane)
			}
		}
		if o.Bytes() != 0 || o.Len() != 0 {
			t.Fatalf("%d bytes in %d lanes left", o.Bytes(), o.Len())
		}
	})
}
