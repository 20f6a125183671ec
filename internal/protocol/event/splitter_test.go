package event

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const stream = "id: 1\ndata: a\n\n" + "id: 2\r\ndata: b\r\n\r\n" + ": comment\n\n" +
	"version: 3\nid:4\ndata: c\ndata: d\n\n"

func TestEveryChunkSizeGivesTheSameEvents(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= len(stream); size++ {
		var s Splitter
		var whole bytes.Buffer
		completed := 0
		var ids []string
		for at := 0; at < len(stream); at += size {
			whole.Write(s.Add([]byte(stream[at:min(at+size, len(stream))])))
			completed += s.Completed()
			ids = append(ids, s.IDs()...)
		}
		is.Equal(whole.String(), stream)
		is.Equal(completed, 4)
		is.Equal(ids, []string{"1", "2", "4"}) // the comment has none
		is.Equal(s.Buffered(), 0)
	}
}

func TestIncompleteEventIsBuffered(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.Equal(string(s.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n")
	is.Equal(s.IDs(), []string{"1"})
	is.Equal(s.Buffered(), len("id: 2\nda"))
	is.Equal(string(s.Add([]byte("ta: b\n\n"))), "id: 2\ndata: b\n\n")
	is.Equal(s.IDs(), []string{"2"})
}

// TestLongEventsOfAnyChunkSize guards against an event that is searched again from its start with each chunk, or whose
// buffer is kept after it.
func TestLongEventsOfAnyChunkSize(t *testing.T) {
	for limit, effective := range map[int]int{0: DefaultMaxEventBytes, 100_000: 100_000} {
		is := is.New(t)
		long := "id: 9\ndata: " + strings.Repeat("x", effective-14) + "\n\n"
		for _, size := range []int{1, 7, 8 << 10, len(long)} {
			s := Splitter{MaxEventBytes: limit}
			completed := 0
			for at := 0; at < len(long); at += size {
				s.Add([]byte(long[at:min(at+size, len(long))]))
				completed += s.Completed()
				is.True(!s.TooLong())
			}
			is.Equal(completed, 1)
			is.Equal(s.IDs(), []string{"9"})
			s.Add([]byte("id: 10\n"))
			is.True(cap(s.buffer) <= keptBytes)
			s.Add(make([]byte, effective))
			is.True(s.TooLong())
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(stream), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		var s Splitter
		cut = max(min(cut, len(data)), 0)
		var got []byte
		got = append(got, s.Add(data[:cut])...)
		got = append(got, s.Add(data[cut:])...)
		if len(got)+s.Buffered() != len(data) || !bytes.HasPrefix(data, got) {
			t.Fatal("events and buffered bytes differ from the input")
		}
	})
}
