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
//
// It uses the first byte of the key's hash, so it never returns a number above 255.
func Partition(key string, count int) int {
	sum := sha256.Sum256([]byte(key))
	return int(sum[0]) % count
}

// keyHash is the first 16 bytes of the SHA-256 hash of a key.
type keyHash [16]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:16])
}

// Holder is the claim that holds a key, with its outcome once that is recorded.
type Holder struct {
	attempt       string
	digest        string
	timeMS        int
	outcome       outcome.Outcome
	outcomeOffset int
}

// NewHolder returns the Holder that another node reported in its decision.
func NewHolder(attempt string, result outcome.Outcome, outcomeOffset int) Holder {
	return Holder{
		attempt:       attempt,
		outcome:       result,
		outcomeOffset: outcomeOffset,
	}
}

// Attempt returns the ID of the attempt that holds the key.
func (h Holder) Attempt() string { return h.attempt }

// Digest returns the digest of the claimed request.
func (h Holder) Digest() string { return h.digest }

// Outcome returns the recorded outcome, or "" if none is recorded.
func (h Holder) Outcome() outcome.Outcome { return h.outcome }

// OutcomeOffset returns the log offset of the outcome record.
func (h Holder) OutcomeOffset() int { return h.outcomeOffset }

// expiryEntry is a claim or void that is removed when it is older than the lifetime.
type expiryEntry struct {
	timeMS  int
	key     keyHash
	attempt string
}

// Index maps each key to the first claim in log order that is neither voided nor expired.
//
// It is built by applying the records of one claims stream, so all nodes that read the stream agree.
type Index struct {
	// Sealer authenticates and decodes the records.
	Sealer record.Sealer
	// Stream is the name of the claims stream.
	Stream string
	// Lifetime is how long a claim holds its key; it must be shorter than the log's retention, so that a node that starts
	// reads all claims in force.
	Lifetime time.Duration

	// holders holds the claim that holds each key.
	holders map[keyHash]Holder
	// voided holds the IDs of voided attempts, whose claims are ignored if they are read later.
	voided map[string]struct{}
	// expiryQueue holds the claims and voids in log order.
	expiryQueue []expiryEntry
	// started is set by Restart and unset by Clear.
	started bool
	// next is the offset of the next record to read.
	next int
	// readyOffset is the value of next at which the index is ready.
	readyOffset int
}

// Restart empties the index and starts reading at oldest; the index is ready once it has read all records before end.
func (x *Index) Restart(oldest, end int) {
	x.holders = map[keyHash]Holder{}
	x.voided = map[string]struct{}{}
	x.expiryQueue = nil
	x.started = true
	x.next = oldest
	x.readyOffset = end
}

// Clear empties the index, which is not ready until Restart is called and the stream has been read.
func (x *Index) Clear() {
	x.Restart(0, 0)
	x.started = false
}

// Ready reports whether all records that the log held at the last Restart have been read.
func (x *Index) Ready() bool {
	return x.started && x.next >= x.readyOffset
}

// Next returns the offset of the next record to read.
func (x *Index) Next() int { return x.next }

// KeyCount returns the number of keys that have a holder.
func (x *Index) KeyCount() int { return len(x.holders) }

// Holder returns the claim that holds a key.
func (x *Index) Holder(key string) (Holder, bool) {
	holder, ok := x.holders[hashKey(key)]
	return holder, ok
}

// Apply applies one record; ok is false for a record that was read before, is invalid or has an unknown type.
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
		x.applyClaim(entry, key, r)
	case wire.ClaimRecordTypeOutcome:
		x.applyOutcome(entry, key, r)
	case wire.ClaimRecordTypeVoid:
		x.applyVoid(entry, key, r)
	default:
		return r, false
	}
	return r, true
}

// applyClaim makes the attempt the holder of the key, unless the key is held or the attempt was voided before.
func (x *Index) applyClaim(entry wire.LogRecord, key keyHash, r wire.ClaimRecord) {
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
	x.queueExpiry(entry.TimeMs, key, r.Attempt)
}

// applyOutcome records the first outcome of the attempt that holds the key, and ignores others.
func (x *Index) applyOutcome(entry wire.LogRecord, key keyHash, r wire.ClaimRecord) {
	holder, held := x.holders[key]
	if !held || holder.attempt != r.Attempt || holder.outcome != "" {
		return
	}
	holder.outcome = outcome.Outcome(r.Outcome)
	holder.outcomeOffset = entry.Offset
	x.holders[key] = holder
}

// applyVoid frees the key of an attempt without an outcome, and voids its claim if that is read later.
func (x *Index) applyVoid(entry wire.LogRecord, key keyHash, r wire.ClaimRecord) {
	holder, held := x.holders[key]
	if held && holder.attempt == r.Attempt {
		if holder.outcome != "" {
			return
		}
		delete(x.holders, key)
	}
	if _, known := x.voided[r.Attempt]; !known {
		x.voided[r.Attempt] = struct{}{}
		x.queueExpiry(entry.TimeMs, key, r.Attempt)
	}
}

// queueExpiry schedules the removal of a claim or void.
func (x *Index) queueExpiry(timeMS int, key keyHash, attempt string) {
	x.expiryQueue = append(x.expiryQueue, expiryEntry{
		timeMS:  timeMS,
		key:     key,
		attempt: attempt,
	})
}

// expire removes claims and voids older than the lifetime. It uses the log's timestamps, so that all nodes remove the
// same entries at the same offset.
func (x *Index) expire(nowMS int) {
	oldest := nowMS - int(x.Lifetime.Milliseconds())
	for len(x.expiryQueue) > 0 && x.expiryQueue[0].timeMS < oldest {
		first := x.expiryQueue[0]
		x.expiryQueue = x.expiryQueue[1:]
		if x.holders[first.key].attempt == first.attempt {
			delete(x.holders, first.key)
		}
		delete(x.voided, first.attempt)
	}
}
