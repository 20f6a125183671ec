package platform

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/standin"
)

// TestUnsoundAnswersSettleNothing guards against an append that counts as done, and a read that counts as whole, by an answer that is
// not sound HTTP/1.1.
func TestUnsoundAnswersSettleNothing(t *testing.T) {
	for name, answer := range standin.UnsoundAnswers(`{"first-offset":0,"next-offset":0,"records":[]}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, err := standin.ServeRaw(t.Context(), answer)
			is.NoErr(err)
			c := &Client{
				BaseURL:     "http://" + address,
				CallTimeout: time.Second,
			}
			c.Open()
			_, err = c.Append(t.Context(), stream, []string{"record"})
			is.True(errors.Is(err, ErrMaybeAppended))
			_, err = c.Read(t.Context(), stream, 0, 0)
			is.True(err != nil)
		})
	}
}
