package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/schedule"
)

// searchInterval is the time between two searches for another upstream while one is silent: retries become free and upstreams
// return within seconds. A search that fails costs a choice, and a connect to each upstream that was not known to be down.
const searchInterval = 100 * time.Millisecond

var errUpstreamSilent = errors.New("upstream was silent for too long, and another one was ready")

// preparedSend is a send that needs nothing more than to be written: the upstream is connected to, and its limits allow it.
type preparedSend struct {
	choice dispatch.Choice
	// conn is the connection to the upstream, nil before prepare.
	conn   *connection.Conn
	permit dispatch.Permit
}

// succession watches for the silence of the upstream that has a request. It then looks for another one, and gives the silent one
// up only once the next send is certain; until then its answer still counts. While it looks, the goroutine of the request does
// nothing but wait for the upstream, or for the end of the search in heard.
type succession struct {
	exchange *exchange
	upstream *replica.Replica
	conn     *connection.Conn

	mu    sync.Mutex
	timer *time.Timer
	// due is when the upstream has been silent for too long, zero while nothing is expected.
	due time.Time
	// cancel ends a search, after which done is closed; nil without a search.
	cancel context.CancelFunc
	done   chan struct{}
	// next is the send for which the upstream was given up, nil if it was not.
	next *preparedSend
}

// expect sets when the upstream will have been silent for too long, if the request might then be sent to another one.
func (w *succession) expect(due time.Time) {
	x := w.exchange
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil || due.Equal(w.due) || !due.Before(x.deadline) || !x.attempts.MayRepeat(due) || x.probe {
		return
	}
	w.due = due
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(due), w.search)
		return
	}
	w.timer.Reset(time.Until(due))
}

// heard ends the wait for a sign of the upstream, and reports whether it still has the request.
func (w *succession) heard() bool {
	w.mu.Lock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.due = time.Time{}
	cancel, done := w.cancel, w.done
	w.cancel = nil
	w.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
	return w.next == nil
}

// search looks for another upstream until it has one or the silent one is heard of.
func (w *succession) search() {
	w.mu.Lock()
	if w.due.IsZero() || time.Now().Before(w.due) || w.cancel != nil {
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(w.exchange.ctx)
	defer cancel()
	w.cancel, w.done = cancel, make(chan struct{})
	done := w.done
	w.mu.Unlock()
	defer close(done)
	x := w.exchange
	x.server.Dispatcher.Failed(w.upstream, time.Now())
	if x.repeatQuarantined() {
		return
	}
	for ctx.Err() == nil && x.attempts.MayRepeat(time.Now()) {
		if next := x.secureNext(ctx, w.upstream); next != nil {
			w.next = next
			w.conn.Abort()
			return
		}
		schedule.Pause(ctx, searchInterval)
	}
}

// secureNext returns a send to another upstream for which a retry was taken from the budget, or nil if there is none now.
func (x *exchange) secureNext(ctx context.Context, present *replica.Replica) *preparedSend {
	budget := x.server.RetryBudget(x.pool)
	request := x.dispatchRequest()
	request.Exclude = append(slices.Clone(request.Exclude), present.Name())
	for budget.Allows(time.Now()) && ctx.Err() == nil {
		choice := x.server.Dispatcher.Choose(request, rand.Uint64(), time.Now())
		if choice.Replica == nil {
			return nil
		}
		next := &preparedSend{choice: choice}
		if err := x.prepare(ctx, next); err != nil {
			request.Exclude = append(request.Exclude, choice.Replica.Name())
			continue
		}
		if ctx.Err() != nil || !x.attempts.Secure() {
			x.release(next)
			return nil
		}
		x.logChoice(choice)
		return next
	}
	return nil
}

// release gives back what a send holds that is not to be written.
func (x *exchange) release(s *preparedSend) {
	if s != nil && s.conn != nil {
		x.server.Connections.Put(s.conn, 0)
		x.releasePermit(s.permit, false)
	}
}
