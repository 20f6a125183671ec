package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store stands in for the platform's store: it keeps all records of keyed topics. The zero value is empty.
type Store struct {
	mu     sync.Mutex
	topics map[string][]record
	// sent counts the bytes of the answers to reads, by topic.
	sent map[string]int
}

type record struct {
	key, value string
}

// Put appends a record to a topic.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics == nil {
		s.topics = map[string][]record{}
	}
	s.topics[topic] = append(s.topics[topic], record{
		key:   key,
		value: value,
	})
}

// Sent returns the number of bytes that reads of a topic have returned.
func (s *Store) Sent(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[topic]
}

// send answers a read of a topic.
func (s *Store) send(w http.ResponseWriter, topic string, answer []byte) {
	s.mu.Lock()
	if s.sent == nil {
		s.sent = map[string]int{}
	}
	s.sent[topic] += len(answer)
	s.mu.Unlock()
	_, _ = w.Write(answer)
}

func (s *Store) records(topic string) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic]
}

// ServeHTTP serves the calls of the nodes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, topic)
	case "/log-read":
		s.read(w, r, topic)
	case "/log-newest":
		s.newest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for len(body) > 4 {
		size := 4 + int(binary.BigEndian.Uint32(body))
		keyEnd := 5 + int(body[4])
		s.Put(topic, string(body[5:keyEnd]), string(body[keyEnd:size]))
		body = body[size:]
	}
	end := len(s.records(topic))
	_ = json.NewEncoder(w).Encode(map[string]int{
		"offset":     end - 1,
		"end_offset": end,
	})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(until) && len(s.records(topic)) <= from; {
		time.Sleep(10 * time.Millisecond)
	}
	records := s.records(topic)
	answer := make([]byte, 16)
	binary.BigEndian.PutUint64(answer, uint64(len(records)))
	for _, record := range records[min(from, len(records)):] {
		answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(record.key)+len(record.value)))
		answer = append(answer, byte(len(record.key)))
		answer = append(answer, record.key+record.value...)
	}
	s.send(w, topic, answer)
}

func (s *Store) newest(w http.ResponseWriter, topic string) {
	records := s.records(topic)
	newest := map[string]int{}
	for offset, record := range records {
		newest[record.key] = offset
		if record.value == "" {
			delete(newest, record.key)
		}
	}
	items := []map[string]any{}
	for key, offset := range newest {
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString([]byte(records[offset].value)),
			"offset": offset,
		})
	}
	answer, _ := json.Marshal(map[string]any{
		"items":      items,
		"end_offset": len(records),
	})
	s.send(w, topic, answer)
}
