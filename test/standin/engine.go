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
	heartbeatEvery = 500 * time.Millisecond
	cacheSize      = 64
	eventGapEvery  = 17
)

// Engine stands in for a model engine with continuous batching on a fixed number of slots.
type Engine struct {
	Faults
	// Name names the engine.
	Name string
	// Slots is the number of requests that run at once; beyond it requests queue by priority.
	Slots int
	// TokenTime is the time between tokens of an idle engine; it doubles at full load.
	TokenTime time.Duration
	// PrefillTime is the time to the first token with a cold prefix.
	PrefillTime time.Duration
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
	// Models are the models loaded at the start.
	Models []string

	mu       sync.Mutex
	running  int
	queue    []*ticket
	arrivals int
	cache    []string
	events   []wire.CacheEvent
	sequence int
	reports  []datedReport
	fencing  int
	orders   int
	tokens   int
}

type ticket struct {
	priority int
	arrival  int
	start    chan struct{}
}

type datedReport struct {
	at     time.Time
	report wire.LoadReport
}

type engineRequest struct {
	wire.ChatRequest
	MaxTokens int `json:"max_tokens"`
}

// Handler serves the engine's interfaces.
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

// Orders returns the number of orders taken.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	if e.Active(FaultLeaving) {
		w.Header().Set("Leaving", "1")
		w.Header().Set("Not-Run", "1")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !e.before(w, r) {
		return
	}
	var request engineRequest
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
	if !e.enter(r, out) {
		return
	}
	defer e.leave()
	e.prefill(r)
	e.generate(r, request, out)
}

// enter waits for a slot by priority, with heartbeats on a stream.
func (e *Engine) enter(r *http.Request, out *engineWriter) bool {
	e.mu.Lock()
	if e.running < e.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	e.arrivals++
	t := &ticket{
		priority: priority,
		arrival:  e.arrivals,
		start:    make(chan struct{}),
	}
	at, _ := slices.BinarySearchFunc(e.queue, t, func(a, b *ticket) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrival - b.arrival
	})
	e.queue = slices.Insert(e.queue, at, t)
	e.mu.Unlock()
	for {
		select {
		case <-t.start:
			return true
		case <-time.After(heartbeatEvery):
			out.heartbeat()
		case <-r.Context().Done():
			e.giveUp(t)
			return false
		}
	}
}

func (e *Engine) giveUp(t *ticket) {
	e.mu.Lock()
	at := slices.Index(e.queue, t)
	if at >= 0 {
		e.queue = slices.Delete(e.queue, at, at+1)
	}
	e.mu.Unlock()
	if at < 0 {
		e.leave()
	}
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(e.queue[0].start)
		e.queue = e.queue[1:]
		return
	}
	e.running--
}

func (e *Engine) prefill(r *http.Request) {
	prefix := r.Header.Get("Prompt-Prefix")
	if prefix == "" {
		wait(r, e.PrefillTime)
		return
	}
	e.mu.Lock()
	warm := slices.Contains(e.cache, prefix)
	if !warm {
		e.cache = append(e.cache, prefix)
		e.event(prefix, true)
		if len(e.cache) > cacheSize {
			e.event(e.cache[0], false)
			e.cache = e.cache[1:]
		}
	}
	e.mu.Unlock()
	if !warm {
		wait(r, e.PrefillTime)
	}
}

// event notes a cache event; now and then one is lost, as the platform's are.
func (e *Engine) event(prefix string, stored bool) {
	e.sequence++
	if e.sequence%eventGapEvery == 0 {
		return
	}
	e.events = append(e.events, wire.CacheEvent{
		Sequence: e.sequence,
		Prefix:   prefix,
		Stored:   stored,
	})
	if len(e.events) > cacheSize {
		e.events = e.events[1:]
	}
}

func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
	slow := float64(e.running) / float64(max(e.Slots, 1))
	return time.Duration(float64(e.TokenTime) * (1 + slow))
}

// generate writes pieces that depend on the prompt alone, so that a resumed stream continues the same text.
func (e *Engine) generate(r *http.Request, request engineRequest, out *engineWriter) {
	from, _ := strconv.Atoi(r.Header.Get("Resume-Offset"))
	total := request.MaxTokens
	if total <= 0 {
		total = 16
	}
	seed := Seed(request.ChatRequest)
	id := r.Header.Get("Request-ID")
	if _, cross := e.Take(FaultMismatchedAnswer); cross {
		id = "another-request"
		w := out.w
		w.Header().Set("Request-ID", id)
	}
	text := ""
	for i := from; i < total; i++ {
		wait(r, e.tokenTime())
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
		p := streamPiece(id, r.Header.Get("Attempt"), i, word)
		out.piece(p)
		if _, repeat := e.Take(FaultRepeatEvent); repeat {
			out.piece(p)
		}
		if e.strike(r, i-from) {
			return
		}
	}
	out.finish(id, request.Model, text, total)
}

// strike applies the faults that come in the middle of a stream.
func (e *Engine) strike(r *http.Request, produced int) bool {
	const after = 2
	if produced < after {
		return false
	}
	if _, short := e.Take(FaultTruncateStream); short {
		return true
	}
	if _, silent := e.Take(FaultStallStream); silent {
		<-r.Context().Done()
		return true
	}
	return false
}

// Seed is the number that an engine's answer to a request follows from.
func Seed(request wire.ChatRequest) uint32 {
	hash := fnv.New32a()
	for _, message := range request.Messages {
		_, _ = fmt.Fprint(hash, message.Role, message.Content)
	}
	return hash.Sum32()
}

// Word is the text of the i-th token of the answer that follows from a seed.
func Word(seed uint32, i int) string {
	return fmt.Sprintf("w%d-%04x ", i, (seed+uint32(i)*2654435761)&0xffff)
}

func streamPiece(id, attempt string, offset int, word string) wire.ChatAnswer {
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
