package command

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// A process near its VM's memory limit let its heap grow by garbage as if there were no limit.
func TestGoMemoryIsLimitedByTheVM(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(math.MaxInt64)
	defer debug.SetMemoryLimit(before)
	limitGoMemory(0) // the VM's limit is not known
	is.Equal(debug.SetMemoryLimit(-1), int64(math.MaxInt64))
	limitGoMemory(100 << 20)
	is.Equal(debug.SetMemoryLimit(-1), int64(30<<20))
}
