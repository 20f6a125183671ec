package upstream

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/test/standin"
)

// TestUnsoundAnswersAreBroken guards against an answer that is not sound HTTP/1.1 and counts as that of a call, a probe or an order.
func TestUnsoundAnswersAreBroken(t *testing.T) {
	for name, answer := range standin.UnsoundAnswers("{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, err := standin.ServeRaw(t.Context(), answer)
			is.NoErr(err)
			client := &Client{}
			client.Init()
			for _, atMostOnce := range []bool{true, false} {
				call := newAtMostOnceCall(address, http.MethodPost)
				call.AtMostOnce = atMostOnce
				response, err := client.Do(t.Context(), call)
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
					is.True(err != nil)
					continue
				}
				var sendErr *SendError
				is.True(errors.As(err, &sendErr))
				is.True(sendErr.MaybeRan)
			}
			_, err = client.FetchLoadReport(t.Context(), address)
			is.True(err != nil)
			if name == "blank after the size of a chunk" {
				return // an order is settled by its status
			}
			_, err = client.SendOrder(t.Context(), address, wire.EngineOrder{})
			is.True(err != nil)
		})
	}
}
