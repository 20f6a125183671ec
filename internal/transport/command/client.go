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
	"lagoongw/internal/transport/connection"
)

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// operatorSettings holds the options of commands that call an entry VM as an operator.
type operatorSettings struct {
	Node  string `long:"node" env:"LAGOONGW_NODE" default:"127.0.0.1:8080" description:"address of an entry VM"`
	Token string `long:"operator-token" env:"LAGOONGW_OPERATOR_TOKEN" description:"operator token"`
}

// callerSettings holds the options of commands that call an entry VM as a caller.
type callerSettings struct {
	Node  string `long:"node" env:"LAGOONGW_NODE" default:"127.0.0.1:8080" description:"address of an entry VM"`
	Token string `long:"team-token" env:"LAGOONGW_TEAM_TOKEN" description:"team token"`
}

// response is an entry VM's response to a call.
type response struct {
	status int
	body   []byte
}

// client fails on responses that are not sound HTTP/1.1.
var client = &http.Client{Transport: newTransport()}

func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = connection.CheckResponses(transport.DialContext)
	return transport
}

func call(ctx context.Context, method, node, path, token string, request any) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return response{}, err
		}
		body = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, body)
	if err != nil {
		return response{}, err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	httpResponse, err := client.Do(r)
	if err != nil {
		return response{}, eris.Wrapf(err, "call entry VM %s (try another with --node)", node)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	return response{
		status: httpResponse.StatusCode,
		body:   data,
	}, err
}

// decode decodes a response of status 200 or 202. For any other status, it returns an error with the message that the
// entry VM sent.
func (r response) decode(into any) error {
	if r.status == http.StatusOK || r.status == http.StatusAccepted {
		return json.Unmarshal(r.body, into)
	}
	var detail wire.ErrorDetail
	if json.Unmarshal(r.body, &detail) == nil && detail.Message != "" {
		return eris.New(detail.Message)
	}
	return eris.Errorf("entry VM answered %d: %s", r.status, r.body)
}
