package duties

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/duty"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

const (
	// maxSteps limits the calls to the store in one check of what is due: a read, a claim after it, and a read after a
	// conflict.
	maxSteps = 3
	// saveTries is how often a record is appended that meets a conflict, which a late append of this node may cause.
	saveTries = 3
)

// step does what is due now.
func (s *Service) step(ctx context.Context) {
	s.log.Lock()
	defer s.log.Unlock()
	for range maxSteps {
		var action duty.Action
		s.update(func(now duty.Reading) {
			s.election.Unreachable(s.pace.Unreachable(now.Boot), now)
			action = s.election.Due(now, s.Live)
		})
		switch action.Kind {
		case duty.Wait:
			s.dropRecords()
			return
		case duty.Read:
			if !s.read(ctx) {
				return
			}
		case duty.Append:
			s.appendLease(ctx, action)
		}
	}
}

// dropRecords frees the records of the last read at a node that has heard a holder since. They may take a megabyte.
func (s *Service) dropRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.election.Number() == 0 && !s.election.Current() {
		s.records = nil
	}
}

// read reads the topic and reports whether it could. A store that does not have the topic yet counts as one with an empty
// topic.
func (s *Service) read(ctx context.Context) bool {
	batch, err := s.Log.Newest(ctx)
	if errors.Is(err, catalog.ErrNoTopic) {
		batch, err = catalog.Batch{Era: batch.Era}, nil
	}
	s.logCall("read", err)
	if err != nil {
		return false
	}
	view, records := decode(batch)
	s.update(func(now duty.Reading) {
		s.records = records
		s.election.ReadDone(view, now)
	})
	return true
}

// decode returns the lease record of a topic and the other records by key.
func decode(batch catalog.Batch) (duty.View, map[string][]byte) {
	view := duty.View{
		End: batch.Next,
		Era: batch.Era,
	}
	records := map[string][]byte{}
	for _, record := range batch.Records {
		if record.Key != leaseKey {
			records[record.Key] = []byte(record.Value)
			continue
		}
		view.Found, view.Offset = true, record.Offset
		if json.Unmarshal([]byte(record.Value), &view.Lease) != nil {
			view.Lease = wire.DutyLease{} // A record that can't be decoded counts as another node's lease.
		}
	}
	return view, records
}

func (s *Service) appendLease(ctx context.Context, action duty.Action) {
	value, err := json.Marshal(action.Record)
	if err != nil {
		return
	}
	result, era, _ := s.appendAt(ctx, action.At, leaseKey, value)
	s.update(func(now duty.Reading) { s.election.Appended(action, result, era, now) })
}

func (s *Service) appendAt(ctx context.Context, at int, key string, value []byte) (duty.Result, int, error) {
	era, err := s.Log.AppendAt(ctx, at, wire.FeedRecord{
		Key:   key,
		Value: string(value),
	})
	switch {
	case err == nil:
		s.logCall("append", nil)
		return duty.Done, era, nil
	case errors.Is(err, ErrConflict):
		s.logCall("append", nil)
		return duty.Conflict, 0, err
	}
	s.logCall("append", err)
	if errors.Is(err, catalog.ErrRefused) {
		return duty.Invalid, 0, err
	}
	return duty.Unknown, 0, err
}

// Save appends a record as the holder. It returns ErrNotHolder if this node does not hold the lease or was replaced. After
// other errors the record may still be saved.
func (s *Service) Save(ctx context.Context, key string, value []byte) error {
	return s.SaveAs(ctx, 0, key, value)
}

// SaveAs saves a record like Save, if this node holds the lease with a number; 0 stands for any. A record that rests on
// what was read in one holdership must not be saved in a later one, which may have read something else.
func (s *Service) SaveAs(ctx context.Context, number int, key string, value []byte) error {
	s.log.Lock()
	defer s.log.Unlock()
	for range saveTries {
		at, err := s.saveAt(ctx, number)
		if err != nil {
			return err
		}
		result, era, err := s.appendAt(ctx, at, key, value)
		saved := false
		s.update(func(now duty.Reading) { saved = s.election.Saved(result, era, now) })
		switch {
		case saved:
			return nil
		case result == duty.Done:
			return eris.Wrapf(ErrNotHolder, "save %s: the store was restored from an older copy", key)
		case result != duty.Conflict:
			return eris.Wrapf(err, "save %s", key)
		}
	}
	return eris.Wrapf(ErrNotHolder, "save %s: the topic changed meanwhile", key)
}

// saveAt returns the offset at which this node may append as the holder with a number, 0 for any, after a read if one is
// needed. The number can't change before the append, since s.log is held.
func (s *Service) saveAt(ctx context.Context, number int) (int, error) {
	at, needsRead, held := 0, false, false
	check := func(now duty.Reading) {
		at, needsRead, held = s.election.SaveAt(now)
		held = held && (number == 0 || number == s.election.Number())
	}
	s.update(check)
	if held && needsRead {
		if !s.read(ctx) {
			return 0, eris.New("the topic of the duties can't be read")
		}
		s.update(check)
	}
	if !held || needsRead {
		return 0, ErrNotHolder
	}
	return at, nil
}

// logCall logs when calls to the store begin to fail and when they succeed again.
func (s *Service) logCall(step string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err != nil) == s.logFailing {
		return
	}
	s.logFailing = err != nil
	if err != nil {
		s.Logger.Warn().Err(err).Str("decision", "duty").Str("step", step+" duties").Str("peer", "store").
			Msg("call to the store failed; trying again")
		return
	}
	s.Logger.Info().Str("decision", "duty").Str("step", step+" duties").Str("peer", "store").Msg("call to the store succeeded")
}
