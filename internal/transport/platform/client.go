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
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lagoongw/internal/protocol/wire"
)

const (
	serviceName    = "platform"
	maxAnswerBytes = 64 << 20
	dialTimeout    = time.Second
	idleTimeout    = 20 * time.Second
)

// Errors of Append: ErrNotAppended is certain, ErrMaybeAppended is not.
var (
	ErrNotAppended   = eris.New("record was not appended")
	ErrMaybeAppended = eris.New("record may have been appended")
)

// Client speaks to the platform at one base URL.
type Client struct {
	// BaseURL is the platform's address, such as http://10.0.0.1:8500.
	BaseURL string
	// CallTimeout bounds each call, without the time that a read may wait for records.
	CallTimeout time.Duration

	service httpc.Service
}

// Open prepares the client; it makes no connection.
func (c *Client) Open() {
	breaker.NoBreakerFor(serviceName)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 8,
		DisableCompression:  true,
	}
	c.service = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport})
}

// Append adds records to a stream and returns the offset of the first one, ErrNotAppended or ErrMaybeAppended.
func (c *Client) Append(ctx context.Context, stream string, records []string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	body, err := json.Marshal(wire.AppendRequest{Records: records})
	if err != nil {
		return 0, eris.Wrap(ErrNotAppended, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/log/"+url.PathEscape(stream), bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(ErrNotAppended, err.Error())
	}
	request.GetBody = nil
	response, err := c.service.DoRequest(request)
	if err != nil {
		return 0, classify(err, "append to "+stream)
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

// Read returns the records of a stream from an offset on, waiting up to wait for the first one.
func (c *Client) Read(ctx context.Context, stream string, from int, wait time.Duration) (wire.ReadAnswer, error) {
	path := fmt.Sprintf("/log/%s?from=%d&wait-ms=%d", url.PathEscape(stream), from, wait.Milliseconds())
	var answer wire.ReadAnswer
	err := c.get(ctx, path, c.CallTimeout+wait, &answer)
	return answer, err
}

// Machines returns the platform's list of VMs.
func (c *Client) Machines(ctx context.Context) ([]wire.Machine, error) {
	var answer wire.MachineList
	err := c.get(ctx, "/vms", c.CallTimeout, &answer)
	return answer.Machines, err
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

func classify(err error, step string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrapf(ErrNotAppended, "%s: %v", step, err)
	}
	return eris.Wrapf(ErrMaybeAppended, "%s: %v", step, err)
}

func decode(body io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(into)
}
