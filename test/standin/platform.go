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

// maxReadRecords is the maximum number of records in the answer to a read.
const maxReadRecords = 1000

// logStream is a stream of the log. Its first record has oldestOffset, and appended is closed and replaced at each
// append.
type logStream struct {
	oldestOffset int
	records      []wire.LogRecord
	appended     chan struct{}
}

func (s *logStream) nextOffset() int { return s.oldestOffset + len(s.records) }

// Platform stands in for the platform's append-only log, list of VMs and store of model weights. FaultLateApply and
// FaultLoseAnswer apply to appends only; FaultSlow, FaultHang, FaultRefuse and FaultCrash also apply to reads of the
// log and to the list of VMs.
type Platform struct {
	Faults
	// Retention is how long records are kept; 0 keeps them forever.
	Retention time.Duration
	// AppendsPerSecond is the maximum rate of appends, with bursts of one second's worth; 0 means no limit.
	AppendsPerSecond float64
	// ListLag is the time until a change of the list of VMs is visible.
	ListLag time.Duration
	// MinWeightInterval is the minimum time between two reads from the weight store.
	MinWeightInterval time.Duration

	mu              sync.Mutex
	streams         map[string]*logStream
	machines        []wire.Machine
	visibleMachines []wire.Machine
	appendCount     int
	appendTokens    float64
	lastRefill      time.Time
	lastWeightRead  time.Time
}

// Handler returns the HTTP handler of the platform and of its control interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.handleAppend)
	mux.HandleFunc("GET /log/{stream}", p.handleRead)
	mux.HandleFunc("GET /vms", p.listMachines)
	mux.HandleFunc("GET /weights/{model}", p.readWeight)
	mux.HandleFunc("POST /control/vms", p.setMachines)
	mux.HandleFunc("GET /control/appends", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Appends()) })
	mux.Handle("POST /control/fault", &p.Faults)
	return mux
}

// Appends returns the number of append requests applied.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendCount
}

// stream returns a stream of the log, which is created on first use. p.mu must be held.
func (p *Platform) stream(name string) *logStream {
	if p.streams == nil {
		p.streams = map[string]*logStream{}
	}
	if p.streams[name] == nil {
		p.streams[name] = &logStream{appended: make(chan struct{})}
	}
	return p.streams[name]
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !p.applyEarlyFaults(w, r) {
		return
	}
	var request wire.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.allowAppend() {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	if fault, late := p.Take(FaultLateApply); late {
		go func() {
			time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)
			p.Append(r.PathValue("stream"), request.Records)
		}()
		closeConnection(w)
		return
	}
	first := p.Append(r.PathValue("stream"), request.Records)
	if _, lose := p.Take(FaultLoseAnswer); lose {
		closeConnection(w)
		return
	}
	writeJSON(w, wire.AppendAnswer{FirstOffset: first})
}

// Append adds records to a stream of the log and returns the offset of the first one. It ignores AppendsPerSecond.
func (p *Platform) Append(name string, records []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	first := s.nextOffset()
	now := int(time.Now().UnixMilli())
	for _, data := range records {
		s.records = append(s.records, wire.LogRecord{
			Offset: s.nextOffset(),
			TimeMs: now,
			Data:   data,
		})
	}
	p.appendCount++
	p.dropExpired(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// dropExpired drops the records that are older than Retention.
func (p *Platform) dropExpired(s *logStream, nowMS int) {
	if p.Retention <= 0 {
		return
	}
	oldest := nowMS - int(p.Retention.Milliseconds())
	for len(s.records) > 0 && s.records[0].TimeMs < oldest {
		s.records = s.records[1:]
		s.oldestOffset++
	}
}

// allowAppend takes a token from the token bucket that limits appends, and reports whether there was one.
func (p *Platform) allowAppend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.AppendsPerSecond <= 0 {
		return true
	}
	now := time.Now()
	if p.lastRefill.IsZero() {
		p.appendTokens = p.AppendsPerSecond
	} else {
		p.appendTokens = min(p.appendTokens+now.Sub(p.lastRefill).Seconds()*p.AppendsPerSecond, p.AppendsPerSecond)
	}
	p.lastRefill = now
	if p.appendTokens < 1 {
		return false
	}
	p.appendTokens--
	return true
}

// handleRead answers with the records from an offset on; if there are none yet, it waits up to wait-ms milliseconds.
func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	if !p.applyEarlyFaults(w, r) {
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for {
		answer, appended := p.readNow(r.PathValue("stream"), from)
		if len(answer.Records) > 0 || ctx.Err() != nil {
			writeJSON(w, answer)
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

// readNow returns the current records from an offset on and a channel that is closed at the next append.
func (p *Platform) readNow(name string, from int) (wire.ReadAnswer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	p.dropExpired(s, int(time.Now().UnixMilli()))
	begin := min(max(from-s.oldestOffset, 0), len(s.records))
	end := min(begin+maxReadRecords, len(s.records))
	return wire.ReadAnswer{
		Oldest:  s.oldestOffset,
		Next:    s.nextOffset(),
		Records: append([]wire.LogRecord{}, s.records[begin:end]...),
	}, s.appended
}

func (p *Platform) setMachines(w http.ResponseWriter, r *http.Request) {
	var list wire.MachineList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMachines(list.Machines)
}

// SetMachines changes the list of VMs; clients see the new list after ListLag.
func (p *Platform) SetMachines(machines []wire.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines = machines
	if p.ListLag <= 0 {
		p.visibleMachines = machines
		return
	}
	time.AfterFunc(p.ListLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.visibleMachines = machines
	})
}

func (p *Platform) listMachines(w http.ResponseWriter, r *http.Request) {
	if !p.applyEarlyFaults(w, r) {
		return
	}
	p.mu.Lock()
	list := wire.MachineList{Machines: p.visibleMachines}
	p.mu.Unlock()
	if list.Machines == nil {
		list.Machines = []wire.Machine{}
	}
	writeJSON(w, list)
}

func (p *Platform) readWeight(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.lastWeightRead) < p.MinWeightInterval {
		http.Error(w, "weight store is busy", http.StatusTooManyRequests)
		return
	}
	p.lastWeightRead = now
	_, _ = w.Write([]byte("weights"))
}
