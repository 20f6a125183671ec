package origins

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

// Stored is a keyed topic of the store that the nodes write themselves.
type Stored interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (catalog.Batch, error)
	// Save appends records; one without a value removes its key.
	Save(ctx context.Context, records []wire.FeedRecord) error
}

// storedEntry is the JSON form of an entry of the record of versions.
type storedEntry struct {
	Pool     string `json:"pool"`
	Version  string `json:"version"`
	Era      int    `json:"era,omitempty"`
	Complete bool   `json:"complete,omitempty"`
}

func encodeEntries(entries []origin.Entry) (records []wire.FeedRecord, err error) {
	for _, e := range entries {
		record := wire.FeedRecord{Key: e.Key}
		if !e.Gone {
			value, err := json.Marshal(storedEntry{
				Pool:     e.Pool,
				Version:  e.Version,
				Era:      e.Era,
				Complete: e.Complete,
			})
			if err != nil {
				return nil, eris.Wrap(err, "encode version")
			}
			record.Value = string(value)
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeEntries(records []wire.FeedRecord) (entries []origin.Entry, err error) {
	for _, record := range records {
		if record.Value == "" {
			continue
		}
		var stored storedEntry
		if err := json.Unmarshal([]byte(record.Value), &stored); err != nil {
			return nil, eris.Wrapf(err, "decode recorded version %q", record.Key)
		}
		entries = append(entries, origin.Entry{
			Key:      record.Key,
			Pool:     stored.Pool,
			Version:  stored.Version,
			Era:      stored.Era,
			Complete: stored.Complete,
		})
	}
	return entries, nil
}

// storedStreams is the JSON form of the streams of a batch that began at one version.
type storedStreams struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
	// Streams holds the IDs of the streams, one after the other.
	Streams []byte `json:"streams"`
}

func encodeStreams(reports []origin.Report) (string, error) {
	byOrigin := map[origin.Origin][]byte{}
	for _, report := range reports {
		byOrigin[report.Origin] = append(byOrigin[report.Origin], report.Stream[:]...)
	}
	var batch []storedStreams
	for o, ids := range byOrigin {
		batch = append(batch, storedStreams{
			Pool:    o.Pool,
			Version: o.Version,
			Streams: ids,
		})
	}
	slices.SortFunc(batch, func(a, b storedStreams) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	value, err := json.Marshal(batch)
	return string(value), eris.Wrap(err, "encode streams")
}

// storedLog is what was read of the log of streams.
type storedLog struct {
	// streams holds what is known of each stream.
	streams map[origin.ID]origin.Answer
	// sizes holds the sizes of the batches by slot, and last is the slot that was written last, -1 if none was.
	sizes map[int]int
	last  int
	// early holds the keys of the batches that nodes wrote of their own streams.
	early []int
}

func decodeLog(records []wire.FeedRecord) (storedLog, error) {
	log := storedLog{
		streams: map[origin.ID]origin.Answer{},
		sizes:   map[int]int{},
		last:    -1,
	}
	newest := -1
	for _, record := range records {
		slot, err := strconv.Atoi(record.Key)
		if err != nil {
			return log, eris.Wrapf(err, "decode key %q of streams", record.Key)
		}
		if record.Offset > newest && !origin.IsEarly(slot) {
			newest, log.last = record.Offset, slot
		}
		if record.Value == "" {
			continue
		}
		log.sizes[slot] = len(record.Value)
		if origin.IsEarly(slot) {
			log.early = append(log.early, slot)
		}
		var batch []storedStreams
		if err := json.Unmarshal([]byte(record.Value), &batch); err != nil {
			return log, eris.Wrapf(err, "decode streams under the key %q", record.Key)
		}
		for _, part := range batch {
			log.add(part)
		}
	}
	return log, nil
}

func (l *storedLog) add(part storedStreams) {
	o := origin.Origin{
		Pool:    part.Pool,
		Version: part.Version,
	}
	for ids := range slices.Chunk(part.Streams, len(origin.ID{})) {
		if len(ids) != len(origin.ID{}) {
			return
		}
		id := origin.ID(ids)
		known, found := l.streams[id]
		ambiguous := found && (known.Ambiguous || known.Origin != o)
		l.streams[id] = origin.Answer{
			Known:     !ambiguous,
			Ambiguous: ambiguous,
			Origin:    o,
		}
	}
}
