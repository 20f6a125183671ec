package command

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lagoongw/test/standin"
)

// TestUnsoundAnswersAreErrors guards against a command that reports success by an answer that is not sound HTTP/1.1.
func TestUnsoundAnswersAreErrors(t *testing.T) {
	for name, answer := range standin.UnsoundAnswers("{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, err := standin.ServeRaw(t.Context(), answer)
			is.NoErr(err)
			_, err = call(t.Context(), http.MethodGet, address, "/status", "", nil)
			is.True(err != nil)
		})
	}
}
