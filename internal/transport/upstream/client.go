package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lagoongw/internal/protocol/wire"
)

// Headers between a node and an upstream.
const (
	HeaderRequestID    = "Request-ID"
	HeaderAttempt      = "Attempt"
	HeaderPriority     = "Priority"
	HeaderResumeOffset = "Resume-Offset"
	HeaderLeaving      = "Leaving"
	HeaderNotRun       = "Not-Run"
	HeaderPromptPrefix = "Prompt-Prefix"
)

const (
	serviceName  = "upstream"
	dialTimeout  = 500 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxReport    = 1 << 20
	maxIdlePerVM = 256
)

// Call is one attempt of a request at one upstream.
type Call struct {
	RequestID    string
	Attempt      string
	Address      string
	Method       string
	Path         string
	Header       http.Header
	Body         []byte
	Tier         int
	ResumeOffset int
	PromptPrefix string
	// AtMostOnce forbids that any layer below sends the request a second time.
	AtMostOnce bool
}

// SendError is an attempt that brought no answer; MaybeRan is false only when no byte can have reached the upstream.
type SendError struct {
	MaybeRan bool
	Cause    error
}

// Error returns the cause.
func (f *SendError) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *SendError) Unwrap() error { return f.Cause }

// Client sends calls; it is safe for concurrent use after Open.
type Client struct {
	kept  httpc.Service
	fresh httpc.Service
}

// Init prepares the client; it makes no connection.
func (c *Client) Init() {
	breaker.NoBreakerFor(serviceName)
	c.kept = newService(false)
	c.fresh = newService(true)
}

// newService makes an HTTP service; with fresh connections net/http has no reused connection to resend a request on.
func newService(fresh bool) httpc.Service {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerVM,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
	}
	return httpc.NewServiceWithClient(serviceName, &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	})
}

// Do sends a call and returns the answer with its body still to be read, or a SendError.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, &SendError{Cause: eris.Wrap(err, "make upstream request")}
	}
	service := c.kept
	if call.AtMostOnce {
		service = c.fresh
	}
	response, err := service.DoRequest(request)
	if err != nil {
		return nil, &SendError{
			MaybeRan: connected.Load(),
			Cause:    eris.Wrapf(err, "send to upstream %s", call.Address),
		}
	}
	return response, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if call.AtMostOnce {
		request.GetBody = nil
	}
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttempt, call.Attempt)
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Tier))
	if call.PromptPrefix != "" {
		request.Header.Set(HeaderPromptPrefix, call.PromptPrefix)
	}
	if call.ResumeOffset > 0 {
		request.Header.Set(HeaderResumeOffset, strconv.Itoa(call.ResumeOffset))
	}
	return request, nil
}

// FetchLoadReport returns what an upstream says of itself.
func (c *Client) FetchLoadReport(ctx context.Context, address string) (wire.LoadReport, error) {
	var report wire.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, err
	}
	response, err := c.kept.DoRequest(request)
	if err != nil {
		return report, eris.Wrapf(err, "read load of upstream %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, eris.Errorf("read load: upstream %s answered %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&report)
	return report, eris.Wrapf(err, "read load of upstream %s", address)
}

// SendOrder sends an order to an engine and reports whether it refused an old fencing number.
func (c *Client) SendOrder(ctx context.Context, address string, order wire.EngineOrder) (refused bool, err error) {
	body, err := json.Marshal(order)
	if err != nil {
		return false, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := c.kept.DoRequest(request)
	if err != nil {
		return false, eris.Wrapf(err, "order to engine %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return false, nil
	case http.StatusConflict:
		return true, nil
	}
	return false, eris.Errorf("order: engine %s answered %d", address, response.StatusCode)
}
