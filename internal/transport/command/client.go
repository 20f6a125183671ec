package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

const (
	clientTimeout  = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// operatorSettings tell an operator's command which entry VM to ask, and with which token.
type operatorSettings struct {
	Node  string `long:"node" env:"LAGOONGW_NODE" default:"127.0.0.1:8080" description:"address of an entry VM"`
	Token string `long:"operator-token" env:"LAGOONGW_OPERATOR_TOKEN" description:"operator token"`
}

// callerSettings tell a caller's command which entry VM to ask, and with which token.
type callerSettings struct {
	Node  string `long:"node" env:"LAGOONGW_NODE" default:"127.0.0.1:8080" description:"address of an entry VM"`
	Token string `long:"team-token" env:"LAGOONGW_TEAM_TOKEN" description:"team token"`
}

// answer is what an entry VM answered.
type answer struct {
	status int
	body   []byte
}

func call(ctx context.Context, method, node, path, token string, request any) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return answer{}, err
		}
		body = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, body)
	if err != nil {
		return answer{}, err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, eris.Wrapf(err, "ask entry VM %s (try another with --node)", node)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answer{
		status: response.StatusCode,
		body:   data,
	}, err
}

// expect decodes an answer of status 200 or 202; any other becomes an error with the entry VM's own words.
func (a answer) expect(into any) error {
	if a.status == http.StatusOK || a.status == http.StatusAccepted {
		return json.Unmarshal(a.body, into)
	}
	var detail wire.ErrorDetail
	if json.Unmarshal(a.body, &detail) == nil && detail.Message != "" {
		return eris.New(detail.Message)
	}
	return eris.Errorf("entry VM answered %d: %s", a.status, a.body)
}
