package catalog

import (
	"context"
	"errors"

	"lagoongw/internal/protocol/wire"
)

// save appends the unsaved records to the copy.
func (f *follower) save(ctx context.Context) {
	f.mu.Lock()
	var records []wire.FeedRecord
	for _, record := range f.unsaved {
		records = append(records, record)
	}
	f.mu.Unlock()
	if len(records) == 0 {
		return
	}
	err := f.copy.Save(ctx, records)
	if errors.Is(err, ErrRefused) {
		f.forgetUnsaved(records)
		f.logger.Error().Err(err).Str("step", "save copy of "+f.topic.Name).Str("peer", "store").Int("records", len(records)).
			Msg("copy can't hold these records; it stays as it was until they change")
		return
	}
	if err != nil {
		f.logger.Warn().Err(err).Str("step", "save copy of "+f.topic.Name).Str("peer", "store").
			Msg("copy not saved; will retry")
		return
	}
	f.forgetUnsaved(records)
	f.logger.Info().Str("decision", "feed").Str("topic", f.topic.Name).Int("records", len(records)).Msg("copy saved")
}

// forgetUnsaved removes records from the unsaved ones, unless they have changed since.
func (f *follower) forgetUnsaved(records []wire.FeedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if f.unsaved[record.Key] == record {
			delete(f.unsaved, record.Key)
		}
	}
}

// loadCopy applies the copy if the topic itself could not be read since the start. The topic doesn't count as loaded
// then: peers get no snapshot of it, and every further read still requests the whole topic.
func (f *follower) loadCopy(ctx context.Context) {
	f.mu.Lock()
	needed := !f.topic.Loaded() && !f.fromCopy
	f.mu.Unlock()
	if !needed {
		return
	}
	batch, err := f.copy.Newest(ctx)
	if err != nil || len(batch.Records) == 0 {
		f.logger.Warn().Err(err).Str("step", "read copy of "+f.topic.Name).Str("peer", "store").Msg("no copy to load")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.topic.Loaded() {
		return
	}
	f.fromCopy = true
	records := f.readable(batch.Records)
	f.applyRecords(records)
	f.logger.Info().Str("decision", "feed").Str("topic", f.topic.Name).Int("records", len(records)).
		Msg("topic loaded from the copy")
}
