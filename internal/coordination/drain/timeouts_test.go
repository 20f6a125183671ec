package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrainLeavesTimeForTheEndOfTheProcess guards against processes that are killed at the end of the grace period with answers
// unsent, since they got too little processor time to end within what the drain had left them, and against drains that end
// requests before the last sixth of the grace period.
func TestDrainLeavesTimeForTheEndOfTheProcess(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		is := is.New(t)
		times := TimeoutsFor(grace)
		is.True(times.RefuseAfter < times.Timeout)
		is.True(times.Timeout >= grace*5/6)
		is.True(times.Timeout+times.Stop <= grace*9/10)
	}
}
