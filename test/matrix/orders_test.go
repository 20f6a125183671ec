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

// Demand for a model that no engine has makes the lease's holder order it; an engine that checks refuses older numbers.
func TestDemandedModelIsPlacedUnderTheLease(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:           3,
		Engines:         2,
		Rules:           rules() + "pool=engines fencing=checked # platform team\n",
		ConfigureEngine: func(e *standin.Engine) { e.CheckFencing = true },
	})
	body := `{"model":"quoter","max_tokens":2,"messages":[{"role":"user","content":"a quote, please"}]}`
	ask := func() string {
		answer, err := fleet.Send(t.Context(), l.Nodes[0].Process(), http.MethodPost, "/v1/chat/completions", fleet.MillToken, nil, body)
		is.NoErr(err)
		return answer.Outcome
	}
	is.Equal(ask(), "not-run") // no engine has it yet
	l.WaitUntil(func() bool { return ask() == "completed" })
	var ordered *standin.Engine
	for _, engine := range l.Engines {
		if engine.Orders() > 0 {
			ordered = engine
		}
	}
	is.True(ordered != nil)
	order, err := json.Marshal(wire.EngineOrder{
		FencingNumber: -1,
		Models:        []string{},
		Role:          "serve",
	})
	is.NoErr(err)
	response, err := http.Post("http://"+l.UpstreamAddress(ordered.Name)+"/order", "application/json", bytes.NewReader(order))
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusConflict)
	is.Equal(ask(), "completed") // the older order changed nothing
}

// While the log is out no engine is ordered, whatever the demand.
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
		_, err := fleet.Send(t.Context(), l.Nodes[0].Process(), http.MethodPost, "/v1/chat/completions", fleet.MillToken, nil, body)
		is.NoErr(err)
		l.SleepBriefly()
	}
	is.Equal(l.Engines[0].Orders()+l.Engines[1].Orders(), 0)
}
