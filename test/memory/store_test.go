package memory

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoongw/platform"
)

const (
	routesAtStart = 40
	routesAdded   = 2500
	upstreamCount = 140
	// callBytes is the most that a read returns, apart from its first record.
	callBytes = 2 << 20
)

// storedRecord is a record of a topic; its offset is its index.
type storedRecord struct {
	key, value string
}

// store is a stand-in of the platform's store. It drops the records that the process appends.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string][]storedRecord
	// changed is closed and replaced when a record is added.
	changed chan struct{}
}

// startStore starts a store with the first version of the routes.
func startStore(t *testing.T) *store {
	s := &store{
		topics:  map[string][]storedRecord{},
		changed: make(chan struct{}),
	}
	s.add(platform.TopicOperator, platform.ManifestKey, manifest(1, routesAtStart))
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}

func (s *store) add(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storedRecord{
		key:   key,
		value: value,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// records returns the records of a topic, and a channel that is closed when another one is added to any topic.
func (s *store) records(topic string) ([]storedRecord, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic], s.changed
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/log-newest":
		s.serveNewest(w, topic)
	case "/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		limit := callBytes
		if kilobytes, err := strconv.Atoi(query.Get("max_kb")); err == nil {
			limit = min(limit, kilobytes<<10)
		}
		s.serveRead(w, r, topic, readRange{
			from:  from,
			bytes: limit,
		}, time.After(time.Duration(wait)*time.Millisecond))
	default:
		_, _ = w.Write([]byte(`{"offset":0,"end_offset":1}`))
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	records, _ := s.records(topic)
	newest := map[string]int{}
	for offset, record := range records {
		newest[record.key] = offset
	}
	items := []map[string]any{}
	for key, offset := range newest {
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString([]byte(records[offset].value)),
			"offset": offset,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items":      items,
		"end_offset": len(records),
	})
}

// readRange is what a read asks for: records from an offset on, and their bytes at most.
type readRange struct {
	from, bytes int
}

func (s *store) serveRead(
	w http.ResponseWriter, r *http.Request, topic string, wanted readRange, expired <-chan time.Time,
) {
	for {
		records, changed := s.records(topic)
		if wanted.from < len(records) {
			answer := make([]byte, 16) // two offsets that the process doesn't use
			for _, record := range records[wanted.from:] {
				if len(answer) > 16 && len(answer)+len(record.value) > wanted.bytes {
					break
				}
				answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(record.key)+len(record.value)))
				answer = append(answer, byte(len(record.key)))
				answer = append(answer, record.key...)
				answer = append(answer, record.value...)
			}
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-expired:
			_, _ = w.Write(make([]byte, 16))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// manifest returns a version of the routes. The first one leads to the upstreams of this package; the others are drawn
// from the version, so that each differs in most of its bytes.
func manifest(version, routes int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"unsafe","timeout_ms":20000,`+
		`"service":"s","public":true},{"name":"e","host":"h","path_prefix":"/e/","kind":"stream","timeout_ms":20000,`+
		`"target_gap_ms":20000,"target_latency_ms":20000,"service":"s","public":true}`, version)
	for i := range routes {
		id := uint64(version)<<32 ^ uint64(i)*0x9e3779b97f4a7c15
		fmt.Fprintf(&text, `,{"name":"r-%x","host":"%x.example","path_prefix":"/%x/","kind":"stream","timeout_ms":6000,`+
			`"target_latency_ms":1500,"priority":1,"service":"s","max_attempts":1,"public":false,"sticky":true,`+
			`"resumable":false,"target_gap_ms":250}`, id, id>>8, i)
	}
	text.WriteString(`],"services":[{"name":"s","health_path":"/healthz","max_conns":560}],"limits":{"max_header_bytes":16384,` +
		`"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
		`"tenants":[{"name":"t","api_keys":["k"],"priority":1}]}`)
	return text.String()
}
