package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store as the pages state them: of one record, of one call, and of a page of newest records; and the time that it
// takes for an answer.
const (
	storeAnswerTime = 4 * time.Millisecond
	maxRecordBytes  = 262_144
	maxCallBytes    = 2_097_152
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
)

// record is a record of a keyed topic; one without a value drops its key.
type record struct {
	key, value string
}

// Store stands in for the platform's store. Its topics have one partition each and lose nothing.
type Store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// away reports whether a topic is unavailable at the moment; nil if none is.
	away func(topic string) bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics:  map[string][]record{},
		changed: make(chan struct{}),
	}
}

// SetAway makes the topics unavailable for which away returns true, nil for none.
func (s *Store) SetAway(away func(topic string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Put appends records for the operator or a replica, and reports whether the store accepted them.
func (s *Store) Put(topic string, records ...record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away != nil && s.away(topic) {
		return false
	}
	s.put(topic, records)
	return true
}

func (s *Store) put(topic string, records []record) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the records of a topic and a channel that is closed at the next append; available is false during an outage.
func (s *Store) state(topic string) (records []record, changed <-chan struct{}, available bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic], s.changed, s.away == nil || !s.away(topic)
}

// ServeHTTP serves the calls of the nodes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	time.Sleep(storeAnswerTime)
	if _, _, available := s.state(topic); !available {
		w.WriteHeader(http.StatusServiceUnavailable) // nothing was done
		return
	}
	switch r.URL.Path {
	case names["call-append"]:
		s.serveAppend(w, r, topic)
	case names["call-read"]:
		s.serveRead(w, r, topic)
	case names["call-newest"]:
		s.serveNewest(w, topic, query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == names["topic-operator"] || topic == names["topic-replicas"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil {
		return
	}
	records, valid := parseRecords(body)
	if !valid || len(body) > maxCallBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end_offset": end})
		return
	}
	s.put(topic, records)
	_ = json.NewEncoder(w).Encode(map[string]int{
		"offset":     end,
		"end_offset": end + len(records),
	})
}

// parseRecords decodes length-prefixed keyed records.
func parseRecords(body []byte) (records []record, valid bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size < 1 || size > len(body) || size > maxRecordBytes || 1+int(body[0]) > size {
			return nil, false
		}
		keyEnd := 1 + int(body[0])
		records = append(records, record{
			key:   string(body[1:keyEnd]),
			value: string(body[keyEnd:size]),
		})
		body = body[size:]
	}
	return records, true
}

// serveRead answers with the records from an offset on, at most max_kb of them but at least one, and waits for the first one.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	most, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		most = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	records, changed, available := s.state(topic)
	for waiting := true; waiting && available && len(records) <= from; {
		select {
		case <-changed:
			records, changed, available = s.state(topic)
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	if !available {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := make([]byte, 16)
	binary.BigEndian.PutUint64(answer, uint64(len(records)))
	for i := from; i < len(records); i++ {
		size := 1 + len(records[i].key) + len(records[i].value)
		if i > from && len(answer)+size > most<<10 {
			break
		}
		answer = binary.BigEndian.AppendUint32(answer, uint32(size))
		answer = append(answer, byte(len(records[i].key)))
		answer = append(answer, records[i].key+records[i].value...)
	}
	_, _ = w.Write(answer)
}

// item is a record in the answer to a call for the newest ones.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, topic, after string) {
	records, _, _ := s.state(topic)
	newest := map[string]int{}
	for offset, r := range records {
		newest[r.key] = offset
		if r.value == "" {
			delete(newest, r.key)
		}
	}
	keys := make([]string, 0, len(newest))
	for key := range newest {
		if strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		value := records[newest[key]].value
		if size += len(key) + len(value); len(items) == maxPageItems || len(items) > 0 && size > maxPageBytes {
			break
		}
		items = append(items, item{
			Key:    key,
			Value:  base64.StdEncoding.EncodeToString([]byte(value)),
			Offset: newest[key],
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items":      items,
		"truncated":  len(items) < len(keys),
		"end_offset": len(records),
	})
}
