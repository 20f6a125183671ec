package fleet

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAddressesAreGivenOutOnce guards against a process that can't listen, since another one, of the same fleet or of a test that
// runs beside it, was given the same port before either listened.
func TestAddressesAreGivenOutOnce(t *testing.T) {
	is := is.New(t)
	given := map[string]bool{}
	for range 1000 {
		address, err := freeAddress()
		is.NoErr(err)
		is.True(!given[address])
		is.True(strings.HasPrefix(address, loopbackHost()+":"))
		given[address] = true
	}
	is.True(loopbackHost() != "127.0.0.1")
}
