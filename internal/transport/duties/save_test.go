package duties

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSaveAsNeedsItsHoldership guards against a record that rests on what was read in an earlier holdership and replaces
// what another node has saved meanwhile, such as the counts of a window that it has reported.
func TestSaveAsNeedsItsHoldership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startSite(t, 1)
		defer s.close()
		time.Sleep(10 * time.Second)
		node := s.holder(t)
		number, _ := node.Held()
		is.NoErr(node.SaveAs(t.Context(), number, "usage-1", []byte("x")))
		is.True(errors.Is(node.SaveAs(t.Context(), number+1, "usage-1", []byte("y")), ErrNotHolder))
		is.Equal(s.log.value("usage-1"), "x")
	})
}
