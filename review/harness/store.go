package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// offsetsBytes is the length of the two offsets that begin the answer to a read, lengthBytes that of a record's length.
	offsetsBytes = 16
	lengthBytes  = 4
	// pageItems is the largest number of items in a page of the newest records.
	pageItems = 500
	// maxRecords is the largest number of records in the answer to a read.
	maxRecords = 1000
)

// storedRecord is a record of a topic; its offset is its index.
type storedRecord struct {
	key, value string
}

// store stands in for the platform's store. It keeps partition 0 of each topic, and all records.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string][]storedRecord
	// changed is closed and replaced when a record is added.
	changed chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a listener of a short-lived stand-in
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(),
		topics:  map[string][]storedRecord{},
		changed: make(chan struct{}),
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put adds a record that the operator, a replica or another writer writes.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, storedRecord{
		key:   key,
		value: value,
	})
}

// add adds records; the caller must hold the lock.
func (s *store) add(topic string, records ...storedRecord) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names["era"], "0")
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case names["call-append"]:
		s.serveAppend(w, r, topic)
	case names["call-read"]:
		s.serveRead(w, r, topic)
	case names["call-newest"]:
		s.serveNewest(w, topic, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == names["topic-operator"] || topic == names["topic-servers"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	records, valid := parseRecords(body)
	if err != nil || !valid {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	at, conditional := strconv.Atoi(r.URL.Query().Get("at"))
	if conditional == nil && at != end {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end_offset": end})
		return
	}
	s.add(topic, records...)
	writeJSON(w, map[string]int{
		"offset":     end,
		"end_offset": end + len(records),
	})
}

func parseRecords(body []byte) (records []storedRecord, valid bool) {
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if size < 1 || size > len(body) || int(body[0]) > size-1 {
			return nil, false
		}
		keyEnd := 1 + int(body[0])
		records = append(records, storedRecord{
			key:   string(body[1:keyEnd]),
			value: string(body[keyEnd:size]),
		})
		body = body[size:]
	}
	return records, true
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first_offset": 0})
			return
		}
		if from < len(records) {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-expired:
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
	}
}

// encodeRecords returns the answer to a read: the end and the first offset, and the records from an offset on.
func encodeRecords(records []storedRecord, from int) []byte {
	answer := make([]byte, offsetsBytes)
	binary.BigEndian.PutUint64(answer, uint64(len(records)))
	for _, record := range records[from:min(len(records), from+maxRecords)] {
		answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(record.key)+len(record.value)))
		answer = append(answer, byte(len(record.key)))
		answer = append(answer, record.key...)
		answer = append(answer, record.value...)
	}
	return answer
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]int{}
	for offset, record := range records {
		newest[record.key] = offset
		if record.value == "" {
			delete(newest, record.key)
		}
	}
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString([]byte(records[newest[key]].value)),
			"offset": newest[key],
		})
	}
	writeJSON(w, map[string]any{
		"items":      items,
		"truncated":  len(keys) > pageItems,
		"end_offset": len(records),
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}
