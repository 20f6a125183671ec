package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

const (
	// heartbeatInterval is the time between heartbeats to a stream that waits for a slot.
	heartbeatInterval = 500 * time.Millisecond
	// cacheSize is the maximum number of prompt prefixes in the cache, and of cache events in a load report.
	cacheSize = 64
	// lostEventInterval makes every 17th cache event get lost, since the platform loses some as well.
	lostEventInterval = 17
)

// Engine stands in for a model engine with continuous batching and a fixed number of slots.
type Engine struct {
	Faults
	// Name is the name of the engine.
	Name string
	// Slots is the maximum number of running requests; further requests queue by priority.
	Slots int
	// TokenTime is the time between tokens on an idle engine; it doubles at full load.
	TokenTime time.Duration
	// PrefillTime is the additional time to the first token if the prompt prefix is not in the cache.
	PrefillTime time.Duration
	// ReportLag is the age of load reports, zero for current ones.
	ReportLag time.Duration
	// CheckFencing makes the engine refuse an order (wire.EngineOrder) with a lower fencing number than an earlier one.
	CheckFencing bool
	// Models are the loaded models; each order replaces them.
	Models []string

	mu                sync.Mutex
	running           int
	queue             []*waiter
	arrivals          int
	prefixes          []string
	cacheEvents       []wire.CacheEvent
	lastSequence      int
	reports           []datedReport
	lastFencingNumber int
	orders            int
	tokens            int
}

// waiter is a request that waits for a slot; started is closed when it gets one.
type waiter struct {
	priority int
	arrival  int
	started  chan struct{}
}

// datedReport is a load report and the time at which it was made.
type datedReport struct {
	at     time.Time
	report wire.LoadReport
}

// chatRequest is a wire.ChatRequest with the maximum output length in tokens.
type chatRequest struct {
	wire.ChatRequest
	MaxTokens int `json:"max_tokens"`
}

// Handler returns the HTTP handler of the engine and of its control interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("POST /kv/export", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	mux.HandleFunc("POST /kv/import", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	mux.HandleFunc("GET /control/tokens", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Tokens()) })
	mux.Handle("POST /control/fault", &e.Faults)
	return mux
}

// Tokens returns the number of tokens generated.
func (e *Engine) Tokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Orders returns the number of accepted orders.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	if e.Active(FaultLeaving) {
		w.Header().Set("Leaving", "1")
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !e.applyEarlyFaults(w, r) {
		return
	}
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-ID", r.Header.Get("Request-ID"))
	out := &engineWriter{
		w:       w,
		control: http.NewResponseController(w),
		stream:  request.Stream,
	}
	if !e.acquireSlot(r, out) {
		return
	}
	defer e.releaseSlot()
	e.prefill(r)
	e.generate(r, request, out)
}

// acquireSlot waits for a slot, in order of priority and arrival, and meanwhile sends heartbeats on a stream. It
// returns false if the client closes the connection first.
func (e *Engine) acquireSlot(r *http.Request, out *engineWriter) bool {
	e.mu.Lock()
	if e.running < e.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	e.arrivals++
	waiting := &waiter{
		priority: priority,
		arrival:  e.arrivals,
		started:  make(chan struct{}),
	}
	at, _ := slices.BinarySearchFunc(e.queue, waiting, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrival - b.arrival
	})
	e.queue = slices.Insert(e.queue, at, waiting)
	e.mu.Unlock()
	for {
		select {
		case <-waiting.started:
			return true
		case <-time.After(heartbeatInterval):
			out.writeHeartbeat()
		case <-r.Context().Done():
			e.cancelWait(waiting)
			return false
		}
	}
}

// cancelWait removes a waiter from the queue, or releases its slot if it has just got one.
func (e *Engine) cancelWait(waiting *waiter) {
	e.mu.Lock()
	at := slices.Index(e.queue, waiting)
	if at >= 0 {
		e.queue = slices.Delete(e.queue, at, at+1)
	}
	e.mu.Unlock()
	if at < 0 {
		e.releaseSlot()
	}
}

// releaseSlot hands the slot to the first waiter, if there is one.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(e.queue[0].started)
		e.queue = e.queue[1:]
		return
	}
	e.running--
}

// prefill waits for PrefillTime unless the prompt prefix is in the cache, and adds the prefix to the cache. A full
// cache evicts its oldest prefix.
func (e *Engine) prefill(r *http.Request) {
	prefix := r.Header.Get("Prompt-Prefix")
	if prefix == "" {
		sleep(r, e.PrefillTime)
		return
	}
	e.mu.Lock()
	warm := slices.Contains(e.prefixes, prefix)
	if !warm {
		e.prefixes = append(e.prefixes, prefix)
		e.recordCacheEvent(prefix, true)
		if len(e.prefixes) > cacheSize {
			e.recordCacheEvent(e.prefixes[0], false)
			e.prefixes = e.prefixes[1:]
		}
	}
	e.mu.Unlock()
	if !warm {
		sleep(r, e.PrefillTime)
	}
}

// recordCacheEvent adds an event to the following load reports, or loses it; see lostEventInterval. e.mu must be held.
func (e *Engine) recordCacheEvent(prefix string, stored bool) {
	e.lastSequence++
	if e.lastSequence%lostEventInterval == 0 {
		return
	}
	e.cacheEvents = append(e.cacheEvents, wire.CacheEvent{
		Sequence: e.lastSequence,
		Prefix:   prefix,
		Stored:   stored,
	})
	if len(e.cacheEvents) > cacheSize {
		e.cacheEvents = e.cacheEvents[1:]
	}
}

// countToken counts a token and returns the time that generating it takes at the current load.
func (e *Engine) countToken() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
	utilization := float64(e.running) / float64(max(e.Slots, 1))
	return time.Duration(float64(e.TokenTime) * (1 + utilization))
}

// generate writes the answer from the requested offset on; the answer has 16 tokens if the request sets no maximum. Its
// text depends on the prompt alone, so that a resumed stream continues the same text.
func (e *Engine) generate(r *http.Request, request chatRequest, out *engineWriter) {
	from, _ := strconv.Atoi(r.Header.Get("Resume-Offset"))
	total := request.MaxTokens
	if total <= 0 {
		total = 16
	}
	seed := Seed(request.ChatRequest)
	id := r.Header.Get("Request-ID")
	if _, mismatch := e.Take(FaultMismatchedAnswer); mismatch {
		id = "another-request"
		w := out.w
		w.Header().Set("Request-ID", id)
	}
	text := ""
	for i := from; i < total; i++ {
		sleep(r, e.countToken())
		if r.Context().Err() != nil {
			return
		}
		if _, skip := e.Take(FaultSkipEvent); skip {
			continue
		}
		word := Word(seed, i)
		text += word
		if !request.Stream {
			continue
		}
		chunk := newChunk(id, r.Header.Get("Attempt"), i, word)
		out.writeChunk(chunk)
		if _, repeat := e.Take(FaultRepeatEvent); repeat {
			out.writeChunk(chunk)
		}
		if e.endsStream(r, i-from) {
			return
		}
	}
	out.finish(id, request.Model, text, total)
}

// endsStream applies the faults that end a stream, from its third token on, and reports whether the stream is over.
func (e *Engine) endsStream(r *http.Request, index int) bool {
	const minIndex = 2
	if index < minIndex {
		return false
	}
	if _, truncate := e.Take(FaultTruncateStream); truncate {
		return true
	}
	if _, stall := e.Take(FaultStallStream); stall {
		<-r.Context().Done()
		return true
	}
	return false
}

// Seed returns the seed of an engine's answer, which is a hash of the messages of the request.
func Seed(request wire.ChatRequest) uint32 {
	hash := fnv.New32a()
	for _, message := range request.Messages {
		_, _ = fmt.Fprint(hash, message.Role, message.Content)
	}
	return hash.Sum32()
}

// Word returns the text of the i-th token, from 0, of the answer to a request with the given seed.
func Word(seed uint32, i int) string {
	return fmt.Sprintf("w%d-%04x ", i, (seed+uint32(i)*2654435761)&0xffff)
}

func newChunk(id, attempt string, offset int, word string) wire.ChatAnswer {
	return wire.ChatAnswer{
		ID:      id,
		Object:  "chat.completion.chunk",
		Attempt: attempt,
		Offset:  offset,
		Choices: []wire.ChatChoice{{
			Delta: &wire.ChatDelta{Content: word},
		}},
	}
}
