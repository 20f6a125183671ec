package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/connection"
)

const (
	serviceName      = "platform"
	maxResponseBytes = 64 << 20
	dialTimeout      = time.Second
	idleTimeout      = 20 * time.Second
)

// Errors of Append.
var (
	// ErrNotAppended means that the records are not in the log and will not get there.
	ErrNotAppended = eris.New("record was not appended")
	// ErrMaybeAppended means that the records may be in the log already, or may still be appended.
	ErrMaybeAppended = eris.New("record may have been appended")
)

// Client calls the platform's API at one base URL.
type Client struct {
	// BaseURL is the URL of the platform without a path, such as http://10.0.0.1:8500.
	BaseURL string
	// CallTimeout is the timeout of each call, not counting the time that Read may wait for records.
	CallTimeout time.Duration

	service httpc.Service
}

// Open creates the HTTP client, without go-zero's circuit breaker; it opens no connection.
func (c *Client) Open() {
	breaker.NoBreakerFor(serviceName)
	transport := &http.Transport{
		DialContext:         connection.CheckResponses((&net.Dialer{Timeout: dialTimeout}).DialContext),
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 8,
		DisableCompression:  true,
	}
	c.service = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport})
}

// Append adds records to a stream and returns the offset of the first one; its errors wrap ErrNotAppended or
// ErrMaybeAppended.
func (c *Client) Append(ctx context.Context, stream string, records []string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	body, err := json.Marshal(wire.AppendRequest{Records: records})
	if err != nil {
		return 0, eris.Wrap(ErrNotAppended, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/log/"+url.PathEscape(stream),
		bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(ErrNotAppended, err.Error())
	}
	// Without GetBody, net/http can't send the body a second time, which could append the records twice.
	request.GetBody = nil
	response, err := c.service.DoRequest(request)
	if err != nil {
		return 0, classifyAppendError(err, "append to "+stream)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		return 0, eris.Wrapf(ErrNotAppended, "append to %s: platform answered %d", stream, response.StatusCode)
	}
	if response.StatusCode != http.StatusOK {
		return 0, eris.Wrapf(ErrMaybeAppended, "append to %s: platform answered %d", stream, response.StatusCode)
	}
	var answer wire.AppendAnswer
	if err := decode(response.Body, &answer); err != nil {
		return 0, eris.Wrapf(ErrMaybeAppended, "append to %s: %v", stream, err)
	}
	return answer.FirstOffset, nil
}

// Read returns the records of a stream from an offset on and waits at most the duration wait for the first one.
func (c *Client) Read(ctx context.Context, stream string, from int, wait time.Duration) (wire.ReadAnswer, error) {
	path := fmt.Sprintf("/log/%s?from=%d&wait-ms=%d", url.PathEscape(stream), from, wait.Milliseconds())
	var answer wire.ReadAnswer
	err := c.get(ctx, path, c.CallTimeout+wait, &answer)
	return answer, err
}

// maxSlots is beyond the slots of any upstream, so that what is computed with them can't overflow.
const maxSlots = 1 << 16

// Machines returns the platform's list of VMs, without the rows that can't be decoded or used.
func (c *Client) Machines(ctx context.Context) ([]wire.Machine, error) {
	var answer struct {
		Machines []json.RawMessage `json:"machines"`
	}
	if err := c.get(ctx, "/vms", c.CallTimeout, &answer); err != nil {
		return nil, err
	}
	var machines []wire.Machine
	for _, row := range answer.Machines {
		var machine wire.Machine
		if json.Unmarshal(row, &machine) == nil && usable(machine) {
			machines = append(machines, machine)
		}
	}
	return machines, nil
}

func usable(machine wire.Machine) bool {
	_, port, err := net.SplitHostPort(machine.Address)
	if err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0 && machine.Name != "" && machine.Slots >= 0 && machine.Slots <= maxSlots
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+path, nil)
	if err != nil {
		return eris.Wrapf(err, "get %s", path)
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return eris.Wrapf(err, "get %s from platform", path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: platform answered %d", path, response.StatusCode)
	}
	return eris.Wrapf(decode(response.Body, into), "get %s from platform", path)
}

// classifyAppendError wraps ErrNotAppended if no connection was made, otherwise ErrMaybeAppended.
func classifyAppendError(err error, operation string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrapf(ErrNotAppended, "%s: %v", operation, err)
	}
	return eris.Wrapf(ErrMaybeAppended, "%s: %v", operation, err)
}

func decode(body io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(into)
}
