package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
)

const maxRead = 1000

type stream struct {
	oldest  int
	records []wire.LogRecord
	grown   chan struct{}
}

func (s *stream) next() int { return s.oldest + len(s.records) }

// Platform stands in for the append-only log, the list of VMs and the weight store.
type Platform struct {
	Faults
	// Retention is how long records are kept, zero for ever.
	Retention time.Duration
	// AppendsPerSecond bounds the appends, zero for no bound.
	AppendsPerSecond float64
	// ListLag is how old the list of VMs is.
	ListLag time.Duration
	// MinWeightInterval is the least time between two loads from the weight store.
	MinWeightInterval time.Duration

	mu         sync.Mutex
	streams    map[string]*stream
	machines   []wire.Machine
	lagged     []wire.Machine
	appends    int
	level      float64
	filled     time.Time
	lastWeight time.Time
}

// Handler serves the platform's interfaces.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.append)
	mux.HandleFunc("GET /log/{stream}", p.read)
	mux.HandleFunc("GET /vms", p.list)
	mux.HandleFunc("GET /weights/{model}", p.weight)
	mux.HandleFunc("POST /control/vms", p.setMachines)
	mux.HandleFunc("GET /control/appends", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Appends()) })
	mux.Handle("POST /control/fault", &p.Faults)
	return mux
}

// Appends returns the number of appends taken.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) stream(name string) *stream {
	if p.streams == nil {
		p.streams = map[string]*stream{}
	}
	if p.streams[name] == nil {
		p.streams[name] = &stream{grown: make(chan struct{})}
	}
	return p.streams[name]
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	if !p.before(w, r) {
		return
	}
	var request wire.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.allow() {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	if fault, late := p.Take(FaultLateApply); late {
		go func() {
			time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)
			p.Append(r.PathValue("stream"), request.Records)
		}()
		cut(w)
		return
	}
	first := p.Append(r.PathValue("stream"), request.Records)
	if _, lose := p.Take(FaultLoseAnswer); lose {
		cut(w)
		return
	}
	writeJSON(w, wire.AppendAnswer{FirstOffset: first})
}

// Append adds records to a stream and returns the offset of the first one.
func (p *Platform) Append(name string, records []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	first := s.next()
	now := int(time.Now().UnixMilli())
	for _, data := range records {
		s.records = append(s.records, wire.LogRecord{
			Offset: s.next(),
			TimeMs: now,
			Data:   data,
		})
	}
	p.appends++
	p.truncate(s, now)
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (p *Platform) truncate(s *stream, nowMS int) {
	if p.Retention <= 0 {
		return
	}
	oldest := nowMS - int(p.Retention.Milliseconds())
	for len(s.records) > 0 && s.records[0].TimeMs < oldest {
		s.records = s.records[1:]
		s.oldest++
	}
}

func (p *Platform) allow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.AppendsPerSecond <= 0 {
		return true
	}
	now := time.Now()
	if p.filled.IsZero() {
		p.level = p.AppendsPerSecond
	} else {
		p.level = min(p.level+now.Sub(p.filled).Seconds()*p.AppendsPerSecond, p.AppendsPerSecond)
	}
	p.filled = now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	if !p.before(w, r) {
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for {
		answer, grown := p.readNow(r.PathValue("stream"), from)
		if len(answer.Records) > 0 || ctx.Err() != nil {
			writeJSON(w, answer)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

func (p *Platform) readNow(name string, from int) (wire.ReadAnswer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	p.truncate(s, int(time.Now().UnixMilli()))
	begin := min(max(from-s.oldest, 0), len(s.records))
	end := min(begin+maxRead, len(s.records))
	return wire.ReadAnswer{
		Oldest:  s.oldest,
		Next:    s.next(),
		Records: append([]wire.LogRecord{}, s.records[begin:end]...),
	}, s.grown
}

func (p *Platform) setMachines(w http.ResponseWriter, r *http.Request) {
	var list wire.MachineList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMachines(list.Machines)
}

// SetMachines changes the list of VMs, which callers see after the lag.
func (p *Platform) SetMachines(machines []wire.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines = machines
	if p.ListLag <= 0 {
		p.lagged = machines
		return
	}
	time.AfterFunc(p.ListLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lagged = machines
	})
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if !p.before(w, r) {
		return
	}
	p.mu.Lock()
	list := wire.MachineList{Machines: p.lagged}
	p.mu.Unlock()
	if list.Machines == nil {
		list.Machines = []wire.Machine{}
	}
	writeJSON(w, list)
}

func (p *Platform) weight(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.lastWeight) < p.MinWeightInterval {
		http.Error(w, "weight store is busy", http.StatusTooManyRequests)
		return
	}
	p.lastWeight = now
	_, _ = w.Write([]byte("weights"))
}
