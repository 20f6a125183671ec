package event

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEventsThatFollow guards against events of a second answer that repeat or leave out some of the first, and against sound ones
// that are refused since their IDs are no dense numbers.
func TestEventsThatFollow(t *testing.T) {
	for name, c := range map[string]struct {
		after, first, second string
		want                 error
	}{
		"next":                              {first: "1 2", second: "3 4"},
		"next, from 0":                      {first: "0 1", second: "2"},
		"next, after a take-up":             {after: "7", first: "8", second: "9"},
		"next, after no event of its own":   {after: "7", second: "8"},
		"the same once more":                {first: "1 2", second: "2 3", want: ErrRepeated},
		"from the start":                    {first: "1 2", second: "1 2 3", want: ErrRepeated},
		"repeats later":                     {first: "1 2", second: "3 3", want: ErrRepeated},
		"one is missing":                    {first: "1 2", second: "4", want: ErrSkipped},
		"one is missing after the first":    {first: "1", second: "3", want: ErrSkipped},
		"one is missing, later":             {first: "1 2", second: "3 5", want: ErrSkipped},
		"one is missing after a take-up":    {after: "7", first: "8", second: "10", want: ErrSkipped},
		"steps of any length":               {first: "3 6 12", second: "15 30"},
		"steps of any length, back":         {first: "3 6 12", second: "6", want: ErrRepeated},
		"no number after dense ones":        {first: "1 2", second: "x", want: ErrSkipped},
		"words":                             {first: "a b", second: "c a"},
		"words, the same":                   {first: "a b", second: "b", want: ErrRepeated},
		"no ID":                             {first: "1 2", second: "3 -", want: ErrNoID},
		"larger than a number of 64 bits":   {first: "18446744073709551616", second: "18446744073709551617"},
		"the largest number, then a larger": {first: "18446744073709551615", second: "18446744073709551616"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sequence
			if c.after != "" {
				s.Resume(c.after)
			}
			s.Add(ids(c.first))
			is.True(errors.Is(s.Follow(ids(c.second)), c.want))
			if c.want == nil {
				all := ids(c.second)
				is.Equal(s.LastID(), all[len(all)-1])
				is.True(s.Resumable())
			}
		})
	}
}

// TestStreamsThatCanBeResumed guards against a resume after an event that has no ID.
func TestStreamsThatCanBeResumed(t *testing.T) {
	for first, want := range map[string]bool{"": true, "1": true, "-": false, "1 -": false, "1 - 2": true} {
		is := is.New(t)
		var s Sequence
		s.Add(ids(first))
		is.Equal(s.Resumable(), want)
	}
}

// ids splits IDs at spaces; "-" stands for an event without one.
func ids(text string) []string {
	all := strings.Fields(text)
	for i := range all {
		all[i] = strings.TrimPrefix(all[i], "-")
	}
	return all
}
