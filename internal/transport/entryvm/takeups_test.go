package entryvm_test

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lagoongw/platform"
)

// keyedStore is a fake of the platform's store that keeps the newest record of each key.
type keyedStore struct {
	mu     sync.Mutex
	topics map[string]map[string]keyedRecord
	ends   map[string]int
	// calls counts the calls by path and topic.
	calls map[string]int
}

type keyedRecord struct {
	value  []byte
	offset int
}

// startKeyedStore starts a store with routes and upstreams, whose entries are by name, and returns its address.
func startKeyedStore(t *testing.T, manifest string, entries map[string]string) (store *keyedStore, address string) {
	store = &keyedStore{
		topics: map[string]map[string]keyedRecord{},
		ends:   map[string]int{},
		calls:  map[string]int{},
	}
	store.put(platform.TopicOperator, platform.ManifestKey, []byte(manifest))
	for name, entry := range entries {
		store.put(platform.TopicUpstreams, name, []byte(entry))
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, strings.TrimPrefix(server.URL, "http://")
}

func (s *keyedStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics[topic] == nil {
		s.topics[topic] = map[string]keyedRecord{}
	}
	s.topics[topic][key] = keyedRecord{
		value:  value,
		offset: s.ends[topic],
	}
	if len(value) == 0 {
		delete(s.topics[topic], key)
	}
	s.ends[topic]++
}

// count returns the number of calls of a path for a topic.
func (s *keyedStore) count(path, topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path+" "+topic]
}

func (s *keyedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	s.calls[r.URL.Path+" "+topic]++
	s.mu.Unlock()
	switch r.URL.Path {
	case "/log-append":
		body, _ := io.ReadAll(r.Body)
		for len(body) > 0 {
			size := binary.BigEndian.Uint32(body)
			record := body[4 : 4+size]
			key := record[1 : 1+record[0]]
			s.put(topic, string(key), record[1+len(key):])
			body = body[4+size:]
		}
		_, _ = io.WriteString(w, `{"offset":0,"end_offset":1}`)
	case "/log-newest":
		s.writeNewest(w, topic)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		answer := make([]byte, 16)
		binary.BigEndian.PutUint64(answer, uint64(s.ends[topic]))
		_, _ = w.Write(answer)
	}
}

func (s *keyedStore) writeNewest(w io.Writer, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []map[string]any{}
	for key, record := range s.topics[topic] {
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString(record.value),
			"offset": record.offset,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items":      items,
		"end_offset": s.ends[topic],
	})
}

// startStream starts an upstream that answers with a stream, and returns its entry in the store.
func startStream(t *testing.T, version string) (entry string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Lagoongw-Attempt-Id", r.Header.Get("X-Lagoongw-Attempt-Id"))
		_, _ = io.WriteString(w, "id: 1\ndata: "+version+"\n\n")
	}))
	t.Cleanup(server.Close)
	return fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":4,"state":"ready","version":"%s","born":1}`,
		strings.TrimPrefix(server.URL, "http://"), version)
}

// TestStreamsAreTakenUpByProcessesThatStartAfterAllWereLost guards against processes that don't keep in the store what they
// need then, and against calls of the store that a site with one version does not need.
func TestStreamsAreTakenUpByProcessesThatStartAfterAllWereLost(t *testing.T) {
	for name, versions := range map[string][]string{
		"one version":  {"v1"},
		"two versions": {"v1", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entries := map[string]string{}
			for _, version := range versions {
				entries["i-"+version] = startStream(t, version)
			}
			store, address := startKeyedStore(t, streamManifest, entries)
			startAll := func() (addresses [][]string, stop func()) {
				addresses = [][]string{freeAddresses(t), freeAddresses(t)}
				seeds := []string{addresses[0][3], addresses[1][3]}
				stopFirst := run(t, newProcess("vm-1", address, addresses[0], seeds))
				stopSecond := run(t, newProcess("vm-2", address, addresses[1], seeds))
				for _, own := range addresses {
					eventually(t, "it is ready", func() bool {
						status, _, _ := get(t, "http://"+own[1]+"/readyz", nil)
						return status == http.StatusOK
					})
				}
				return addresses, func() {
					stopFirst()
					stopSecond()
				}
			}
			addresses, stop := startAll()
			var bodies []string
			for i := range 8 {
				_, body, _ := get(t, "http://"+addresses[i%2][0]+"/x/1", map[string]string{"X-Lagoongw-Attempt-Id": fmt.Sprint("first-", i)})
				bodies = append(bodies, body)
			}
			if len(versions) > 1 {
				eventually(t, "the streams are in the store", func() bool { return store.contains(platform.TopicOrigins, len(bodies)) })
			}
			stop()
			reads, appends := store.count("/log-newest", platform.TopicVersions), store.count("/log-append", platform.TopicVersions)
			addresses, stop = startAll()
			defer stop()
			for i, body := range bodies {
				status, got, _ := get(t, "http://"+addresses[1-i%2][0]+"/x/1", map[string]string{
					"X-Lagoongw-Attempt-Id": fmt.Sprint("again-", i),
					"Resumes":               fmt.Sprint("first-", i),
					"Last-Event-Id":         "1",
				})
				is.Equal(status, http.StatusOK)
				is.Equal(got, body)
			}
			status, _, header := get(t, "http://"+addresses[0][0]+"/x/1", map[string]string{
				"X-Lagoongw-Attempt-Id": "of nobody",
				"Resumes":               "nobody's",
				"Last-Event-Id":         "1",
			})
			is.Equal(status == http.StatusOK, len(versions) == 1)
			is.Equal(header.Get("Retry-After") != "", len(versions) > 1)
			_, metrics, _ := get(t, "http://"+addresses[0][4]+"/metrics", nil)
			is.Equal(strings.Contains(metrics, `lagoongw_taken_up_streams_total{known="false",served="false"} 1`), len(versions) > 1)
			is.Equal(store.count("/log-newest", platform.TopicVersions)-reads, 2) // one for each start
			is.Equal(store.count("/log-append", platform.TopicVersions)-appends, 0)
			if len(versions) == 1 {
				is.Equal(store.count("/log-newest", platform.TopicOrigins)+store.count("/log-append", platform.TopicOrigins), 0)
			}
		})
	}
}

// contains reports whether the batches of a topic hold at least a number of streams.
func (s *keyedStore) contains(topic string, streams int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for _, record := range s.topics[topic] {
		var batch []struct{ Streams []byte }
		_ = json.Unmarshal(record.value, &batch)
		for _, part := range batch {
			for ids := part.Streams; len(ids) >= 16; ids = ids[16:] {
				found[string(ids[:16])] = true
			}
		}
	}
	return len(found) >= streams
}
