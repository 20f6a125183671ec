package entryvm

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/transport/connection"
)

const (
	// maxHeaderBytes limits a caller's header, which is read before the routing table's own limit applies; net/http allows
	// 4 KB more.
	maxHeaderBytes = 28 << 10
	// connectionBytes is what a caller's connection holds at most while no request is served on it: its stack, buffers
	// and a header that is being read.
	connectionBytes = 20<<10 + maxHeaderBytes + 4<<10
	// callerDescriptorsShare is the share of the descriptors that callers' connections may use. Each request in flight
	// needs another one for its upstream; the rest is for idle connections to upstreams, peers, the store and listeners.
	callerDescriptorsShare = 0.375
	// idleDescriptorsShare is the share of the descriptors that idle connections to upstreams may use.
	idleDescriptorsShare = 0.125
	// idleConnectionBytes is what an idle connection to an upstream holds: its reader and its structures.
	idleConnectionBytes = 8 << 10
	// idleMemoryPart is the part of the memory limit that idle connections to upstreams may hold, as its inverse.
	idleMemoryPart = 112
	// minIdleConnections is the number of idle connections to upstreams that the memory always allows.
	minIdleConnections = 16
	// keptConnectionsShare is the share of the connections that are kept open between requests. Connections beyond it
	// are served and then closed, so that callers that hold idle ones can't keep others out.
	keptConnectionsShare = 0.75
	// minConnections is the number of connections that are always accepted.
	minConnections = 32
	// ignoredBodyWait is how long a body that no handler needs is read, so that the answer isn't lost by a reset.
	ignoredBodyWait = 100 * time.Millisecond
	// maxOperatorConnections limits the connections to the readiness check and to the metrics, each.
	maxOperatorConnections = 16
)

// connectionLimit bounds the connections of one or more listeners together: those of callers, to the gateway and the
// directory, or those of operators.
type connectionLimit struct {
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
	// refusals is the number of refused connections that are being answered.
	refusals atomic.Int64
}

// maxConnections returns how many callers' connections the memory and the descriptors allow, 0 descriptors if unknown.
func maxConnections(budget *memory.Budget, descriptors int) int64 {
	limit := budget.Limit(memory.Connections) / connectionBytes
	if descriptors > 0 {
		limit = min(limit, int64(callerDescriptorsShare*float64(descriptors)))
	}
	return max(limit, minConnections)
}

// maxIdleConnections returns how many idle connections to upstreams the memory and the descriptors allow; 0 means that
// either is unknown.
func maxIdleConnections(memoryLimit int64, descriptors int) int {
	limit := int64(connection.DefaultMaxIdle)
	if memoryLimit > 0 {
		limit = max(memoryLimit/idleMemoryPart/idleConnectionBytes, minIdleConnections)
	}
	if descriptors > 0 {
		limit = min(limit, int64(idleDescriptorsShare*float64(descriptors)))
	}
	return int(limit)
}

// crowded reports whether connections are to be closed after their next answer.
func (c *connectionLimit) crowded() bool {
	return float64(c.open.Load()) > keptConnectionsShare*float64(c.limit)
}

// closeWhenCrowded has a handler close connections while too many are open.
func (c *connectionLimit) closeWhenCrowded(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.crowded() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// ignoreBody has a handler that needs no body answer a request at once and close its connection if it has one; net/http
// would wait for the body without a limit of time.
func ignoreBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(ignoredBodyWait))
		}
		handler.ServeHTTP(w, r)
	})
}

// track counts the connections; it is the ConnState function of the HTTP server.
func (c *connectionLimit) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// limitedListener refuses the connections beyond the limit.
type limitedListener struct {
	net.Listener
	connections *connectionLimit
}

// Accept waits for a connection within the limit.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.open.Load() < l.connections.limit {
			return conn, nil
		}
		l.connections.refuse(conn)
	}
}
