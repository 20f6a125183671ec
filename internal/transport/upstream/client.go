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
	"lagoongw/internal/transport/connection"
)

// Request and response headers between a node and an upstream.
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
	serviceName             = "upstream"
	dialTimeout             = 500 * time.Millisecond
	idleConnTimeout         = 30 * time.Second
	maxReportBytes          = 1 << 20
	maxIdleConnsPerUpstream = 256
)

// Call is one attempt of a request at one upstream; Address is the upstream's host and port.
type Call struct {
	RequestID string
	Attempt   string
	Address   string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	Tier      int
	// ResumeOffset is the offset of the next stream event, 0 to start from the beginning.
	ResumeOffset int
	// PromptPrefix is the hash of the start of the prompt, empty for none.
	PromptPrefix string
	// AtMostOnce prevents net/http from resending the request after a connection error.
	AtMostOnce bool
}

// SendError reports an attempt that got no answer. MaybeRan is false only if no byte can have reached the upstream.
type SendError struct {
	MaybeRan bool
	Cause    error
}

// Error returns the message of the cause.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Client sends requests to upstreams; it is safe for concurrent use after Init.
type Client struct {
	keepAlive   httpc.Service
	noKeepAlive httpc.Service
}

// Init prepares the client without connecting, and disables its circuit breaker.
func (c *Client) Init() {
	breaker.NoBreakerFor(serviceName)
	c.keepAlive = newService(false)
	c.noKeepAlive = newService(true)
}

// newService returns an HTTP service. net/http resends requests only after a reused connection breaks, so a service
// with disableKeepAlives never resends.
func newService(disableKeepAlives bool) httpc.Service {
	transport := &http.Transport{
		DialContext:         connection.CheckResponses((&net.Dialer{Timeout: dialTimeout}).DialContext),
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,
	}
	return httpc.NewServiceWithClient(serviceName, &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	})
}

// Response is the answer to a call.
type Response struct {
	*http.Response
	// Reused reports whether its connection has carried another call before.
	Reused bool
}

// Refusal reports whether the upstream states that it did not run a request.
func (r *Response) Refusal() bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderNotRun) != ""
}

// Refuses reports whether the upstream states that it did not run the request with an ID. A refusal that names no request
// counts only on a new connection: on a reused one it may be a copy of an earlier one.
func (r *Response) Refuses(requestID string) bool {
	named := r.Header.Get(HeaderRequestID)
	return r.Refusal() && (named == requestID || named == "" && !r.Reused)
}

// Do sends a call and returns the response, whose body the caller must close, or a *SendError.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
		},
	})
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, &SendError{Cause: eris.Wrap(err, "create request to upstream")}
	}
	service := c.keepAlive
	if call.AtMostOnce {
		service = c.noKeepAlive
	}
	response, err := service.DoRequest(request) //nolint:bodyclose // the caller closes it
	if err != nil {
		return nil, &SendError{
			MaybeRan: connected.Load(),
			Cause:    eris.Wrapf(err, "send to upstream %s", call.Address),
		}
	}
	return &Response{
		Response: response,
		Reused:   reused.Load(),
	}, nil
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

// FetchLoadReport requests the load report of the upstream at address.
func (c *Client) FetchLoadReport(ctx context.Context, address string) (wire.LoadReport, error) {
	var report wire.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, err
	}
	response, err := c.keepAlive.DoRequest(request)
	if err != nil {
		return report, eris.Wrapf(err, "fetch load report of upstream %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, eris.Errorf("fetch load report of upstream %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, eris.Wrapf(err, "fetch load report of upstream %s", address)
}

// SendOrder sends an order to the engine at address; refused reports that the engine found its fencing number too old.
func (c *Client) SendOrder(ctx context.Context, address string, order wire.EngineOrder) (refused bool, err error) {
	body, err := json.Marshal(order)
	if err != nil {
		return false, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := c.keepAlive.DoRequest(request)
	if err != nil {
		return false, eris.Wrapf(err, "send order to engine %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return false, nil
	case http.StatusConflict:
		return true, nil
	}
	return false, eris.Errorf("send order to engine %s: status %d", address, response.StatusCode)
}
