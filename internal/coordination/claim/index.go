package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// Stream returns the name of the log stream of a partition of the keys.
func Stream(partition int) string {
	return fmt.Sprintf("claims-%d", partition)
}

// Partition returns the partition of a key among count partitions.
func Partition(key string, count int) int {
	sum := sha256.Sum256([]byte(key))
	return int(sum[0]) % count
}

type keyHash [16]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:16])
}

// Holder is the first claim of a key in the log, with its outcome once that is recorded.
type Holder struct {
	attempt       string
	digest        string
	timeMS        int
	result        outcome.Outcome
	outcomeOffset int
}

// NewHolder returns a holder as another node described it.
func NewHolder(attempt string, result outcome.Outcome, outcomeOffset int) Holder {
	return Holder{
		attempt:       attempt,
		result:        result,
		outcomeOffset: outcomeOffset,
	}
}

// Attempt returns the attempt that holds the key.
func (h Holder) Attempt() string { return h.attempt }

// Digest returns the digest of the claimed request.
func (h Holder) Digest() string { return h.digest }

// Outcome returns the recorded outcome, empty when none is recorded.
func (h Holder) Outcome() outcome.Outcome { return h.result }

// OutcomeOffset returns the log offset of the outcome record.
func (h Holder) OutcomeOffset() int { return h.outcomeOffset }

type aged struct {
	timeMS  int
	key     keyHash
	attempt string
}

// Index is the fold of one claims stream: for each key, the claim that is first in log order.
type Index struct {
	// Sealer opens the records.
	Sealer record.Sealer
	// Stream is the name of the folded stream.
	Stream string
	// Lifetime is how long a key is honoured; it must be shorter than the log's retention.
	Lifetime time.Duration

	holders map[keyHash]Holder
	voided  map[string]struct{}
	ages    []aged
	started bool
	next    int
	ready   int
}

// Restart begins reading at the oldest retained offset; the index is ready once it has read up to next.
func (x *Index) Restart(oldest, next int) {
	x.holders = map[keyHash]Holder{}
	x.voided = map[string]struct{}{}
	x.ages = nil
	x.started = true
	x.next = oldest
	x.ready = next
}

// Clear forgets what was read; the index is not ready until a new window has been read.
func (x *Index) Clear() {
	x.Restart(0, 0)
	x.started = false
}

// Ready reports whether the whole window has been read.
func (x *Index) Ready() bool {
	return x.started && x.next >= x.ready
}

// Next returns the offset that is read next.
func (x *Index) Next() int { return x.next }

// KeyCount returns the number of keys held.
func (x *Index) KeyCount() int { return len(x.holders) }

// Holder returns the claim that holds a key.
func (x *Index) Holder(key string) (Holder, bool) {
	holder, ok := x.holders[hashKey(key)]
	return holder, ok
}

// Apply folds one record; ok is false for a record that every node ignores.
func (x *Index) Apply(entry wire.LogRecord) (r wire.ClaimRecord, ok bool) {
	if entry.Offset < x.next {
		return r, false
	}
	x.next = entry.Offset + 1
	x.expire(entry.TimeMs)
	if x.Sealer.Open(x.Stream, entry.Data, &r) != nil || r.Key == "" || r.Attempt == "" {
		return r, false
	}
	key := hashKey(r.Key)
	switch r.Type {
	case wire.ClaimRecordTypeClaim:
		x.claim(entry, key, r)
	case wire.ClaimRecordTypeOutcome:
		x.outcome(entry, key, r)
	case wire.ClaimRecordTypeVoid:
		x.void(entry, key, r)
	default:
		return r, false
	}
	return r, true
}

func (x *Index) claim(entry wire.LogRecord, key keyHash, r wire.ClaimRecord) {
	if _, held := x.holders[key]; held {
		return
	}
	if _, voided := x.voided[r.Attempt]; voided {
		return
	}
	x.holders[key] = Holder{
		attempt: r.Attempt,
		digest:  r.Digest,
		timeMS:  entry.TimeMs,
	}
	x.age(entry.TimeMs, key, r.Attempt)
}

func (x *Index) outcome(entry wire.LogRecord, key keyHash, r wire.ClaimRecord) {
	holder, held := x.holders[key]
	if !held || holder.attempt != r.Attempt || holder.result != "" {
		return
	}
	holder.result = outcome.Outcome(r.Outcome)
	holder.outcomeOffset = entry.Offset
	x.holders[key] = holder
}

func (x *Index) void(entry wire.LogRecord, key keyHash, r wire.ClaimRecord) {
	holder, held := x.holders[key]
	if held && holder.attempt == r.Attempt {
		if holder.result != "" {
			return
		}
		delete(x.holders, key)
	}
	if _, known := x.voided[r.Attempt]; !known {
		x.voided[r.Attempt] = struct{}{}
		x.age(entry.TimeMs, key, r.Attempt)
	}
}

func (x *Index) age(timeMS int, key keyHash, attempt string) {
	x.ages = append(x.ages, aged{
		timeMS:  timeMS,
		key:     key,
		attempt: attempt,
	})
}

// expire forgets what is older than the lifetime, by the log's own time, so that every node forgets alike.
func (x *Index) expire(nowMS int) {
	oldest := nowMS - int(x.Lifetime.Milliseconds())
	for len(x.ages) > 0 && x.ages[0].timeMS < oldest {
		first := x.ages[0]
		x.ages = x.ages[1:]
		if x.holders[first.key].attempt == first.attempt {
			delete(x.holders, first.key)
		}
		delete(x.voided, first.attempt)
	}
}
