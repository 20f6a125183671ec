package matrix

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/test/fleet"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// Requests for a model that no engine serves must make the node that holds the lease send an engine an order to load
// it, and an engine that checks fencing numbers must refuse an order with an older number.
func TestDemandedModelIsPlacedUnderTheLease(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:           3,
		Engines:         2,
		Rules:           rules() + "pool=engines fencing=checked # platform team\n",
		ConfigureEngine: func(e *standin.Engine) { e.CheckFencing = true },
	})
	body := `{"model":"quoter","max_tokens":2,"messages":[{"role":"user","content":"a quote, please"}]}`
	sendChat := func() string {
		response, err := fleet.Send(
			t.Context(), l.Nodes[0].Process(), http.MethodPost, "/v1/chat/completions", fleet.MillToken, nil, body)
		is.NoErr(err)
		return response.Outcome
	}
	is.Equal(sendChat(), "not-run") // no engine serves the model yet
	l.WaitUntil(func() bool { return sendChat() == "completed" })
	var orderedEngine *standin.Engine
	for _, engine := range l.Engines {
		if engine.Orders() > 0 {
			orderedEngine = engine
		}
	}
	is.True(orderedEngine != nil)
	olderOrder, err := json.Marshal(wire.EngineOrder{
		FencingNumber: -1,
		Models:        []string{},
		Role:          "serve",
	})
	is.NoErr(err)
	response, err := http.Post(
		"http://"+l.UpstreamAddress(orderedEngine.Name)+"/order", "application/json", bytes.NewReader(olderOrder))
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusConflict)
	is.Equal(sendChat(), "completed") // the order with the older number had no effect
}

// While the log is unreachable, no engine may be ordered to load a model, whatever the demand.
func TestNoEngineIsOrderedDuringALogOutage(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:   1,
		Engines: 2,
		Rules:   rules(),
	})
	l.Platform.Set(always(standin.FaultRefuse))
	l.WaitUntil(func() bool { return !l.Nodes[0].Status().LogReachable })
	body := `{"model":"quoter","max_tokens":2,"messages":[{"role":"user","content":"a quote, please"}]}`
	for range 40 {
		_, err := fleet.Send(
			t.Context(), l.Nodes[0].Process(), http.MethodPost, "/v1/chat/completions", fleet.MillToken, nil, body)
		is.NoErr(err)
		l.SleepBriefly()
	}
	is.Equal(l.Engines[0].Orders()+l.Engines[1].Orders(), 0)
}
