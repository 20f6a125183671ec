package claim

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// MaxBatchRecords is the maximum number of records in one append.
const MaxBatchRecords = 256

// attempt is a request for a key that has no verdict yet.
type attempt struct {
	id       string
	key      string
	digest   string
	deadline time.Time
}

// Claimer is the state machine of one node's claims on one partition; it is not safe for concurrent use.
//
// It does no I/O: each event method returns the decisions to deliver and the batch to append.
type Claimer struct {
	// Index holds the claims read from the partition's stream.
	Index *Index

	// waiting holds the attempts without a verdict, by attempt ID.
	waiting map[string]*attempt
	// dispatched maps attempts that got Dispatch, and whose outcome is not appended yet, to their keys.
	dispatched map[string]string
	// unconfirmedVoids holds, by attempt ID, the voids that were queued but not read back from the log.
	unconfirmedVoids map[string]wire.ClaimRecord
	// pending holds the records to append, in order.
	pending []wire.ClaimRecord
	// inFlight holds the records of the append in progress; it is nil if there is none.
	inFlight []wire.ClaimRecord
	// lastBatch is the number of the most recent batch.
	lastBatch int
	// logDown is set while reads of the log fail.
	logDown bool
	// appendsPaused is set after a failed append, until the next tick or until the log is reachable.
	appendsPaused bool
	// appendFailed is set if the most recent append failed.
	appendFailed bool
}

// NewClaimer returns a Claimer that reads and updates index.
func NewClaimer(index *Index) *Claimer {
	return &Claimer{
		Index:            index,
		waiting:          map[string]*attempt{},
		dispatched:       map[string]string{},
		unconfirmedVoids: map[string]wire.ClaimRecord{},
	}
}

// Waiting returns the number of attempts without a verdict.
func (c *Claimer) Waiting() int { return len(c.waiting) }

// Unwritten returns the number of records queued or in flight, which are not known to be in the log.
func (c *Claimer) Unwritten() int { return len(c.pending) + len(c.inFlight) }

// Submit requests the key for an attempt, which must be decided before the deadline.
//
// A key whose holder is about to be voided can be claimed again at once.
func (c *Claimer) Submit(id, key, digest string, deadline time.Time) Actions {
	if reason := c.refusal(); reason != "" {
		return singleDecision(id, NotRun, Holder{}, reason)
	}
	if holder, held := c.Index.Holder(key); held {
		if _, voiding := c.unconfirmedVoids[holder.attempt]; !voiding {
			return Actions{Decisions: []Decision{decisionFor(id, digest, holder)}}
		}
	}
	c.waiting[id] = &attempt{
		id:       id,
		key:      key,
		digest:   digest,
		deadline: deadline,
	}
	c.pending = append(c.pending, wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeClaim,
		Key:     key,
		Attempt: id,
		Digest:  digest,
	})
	return Actions{Append: c.nextBatch()}
}

// refusal returns why no claim can be accepted now, or "" if one can.
func (c *Claimer) refusal() string {
	if !c.Index.Ready() {
		return "claims not read yet"
	}
	if c.logDown {
		return "log unreachable"
	}
	if c.appendFailed && c.inFlight != nil {
		return "log does not take appends"
	}
	return ""
}

// SetLogDown records whether reads of the log fail; appends resume when the log is reachable again.
func (c *Claimer) SetLogDown(down bool) Actions {
	c.logDown = down
	if down {
		return Actions{Decisions: c.giveUpAllIfLogUnavailable()}
	}
	c.appendsPaused = false
	return Actions{Append: c.nextBatch()}
}

// AppendDone reports the result of a batch; the result of a batch that is not in flight is ignored.
func (c *Claimer) AppendDone(batch int, result AppendResult) Actions {
	if batch != c.lastBatch || c.inFlight == nil {
		return Actions{}
	}
	sent := c.inFlight
	c.inFlight = nil
	var actions Actions
	switch result {
	case Appended:
		c.confirmOutcomes(sent)
	case NotAppended:
		actions.Decisions = c.refuseClaims(sent)
		c.requeue(sent)
	case MaybeAppended:
		c.requeue(sent)
	}
	c.appendsPaused = result != Appended
	c.appendFailed = c.appendsPaused
	actions.Decisions = append(actions.Decisions, c.giveUpAllIfLogUnavailable()...)
	if !c.appendsPaused {
		actions.Append = c.nextBatch()
	}
	return actions
}

// confirmOutcomes removes the attempts whose outcomes were appended.
func (c *Claimer) confirmOutcomes(sent []wire.ClaimRecord) {
	for _, r := range sent {
		if r.Type == wire.ClaimRecordTypeOutcome {
			delete(c.dispatched, r.Attempt)
		}
	}
}

// refuseClaims decides NotRun for the waiting attempts whose claims were not appended.
func (c *Claimer) refuseClaims(sent []wire.ClaimRecord) []Decision {
	var decisions []Decision
	for _, r := range sent {
		if r.Type != wire.ClaimRecordTypeClaim || c.waiting[r.Attempt] == nil {
			continue
		}
		delete(c.waiting, r.Attempt)
		decisions = append(decisions, Decision{
			Attempt: r.Attempt,
			Verdict: NotRun,
			Reason:  "log refused the claim",
		})
	}
	return decisions
}

// requeue puts outcomes and voids back at the front of the queue, since appending them twice is harmless.
// A claim is never appended twice.
func (c *Claimer) requeue(sent []wire.ClaimRecord) {
	var retries []wire.ClaimRecord
	for _, r := range sent {
		if r.Type != wire.ClaimRecordTypeClaim {
			retries = append(retries, r)
		}
	}
	c.pending = append(retries, c.pending...)
}

// ApplyRecord applies one log record to the index and decides the waiting attempt that the record belongs to.
func (c *Claimer) ApplyRecord(entry wire.LogRecord, now time.Time) Actions {
	r, ok := c.Index.Apply(entry)
	if !ok {
		return Actions{}
	}
	if r.Type == wire.ClaimRecordTypeVoid {
		delete(c.unconfirmedVoids, r.Attempt)
		return Actions{}
	}
	waiting := c.waiting[r.Attempt]
	if r.Type != wire.ClaimRecordTypeClaim || waiting == nil {
		return Actions{}
	}
	delete(c.waiting, r.Attempt)
	holder, held := c.Index.Holder(waiting.key)
	if !held || holder.attempt != waiting.id {
		return Actions{Decisions: []Decision{decisionFor(waiting.id, waiting.digest, holder)}}
	}
	if !now.Before(waiting.deadline) {
		decision := c.giveUp(waiting, "claim decided too late")
		return Actions{
			Decisions: []Decision{decision},
			Append:    c.nextBatch(),
		}
	}
	c.dispatched[waiting.id] = waiting.key
	return singleDecision(waiting.id, Dispatch, holder, "")
}

// Restart starts reading at oldest, either for the first time or because the log truncated records that were not read.
//
// All waiting attempts get NotRun, because their claims may be among the truncated records.
func (c *Claimer) Restart(oldest, next int) Actions {
	c.Index.Restart(oldest, next)
	var actions Actions
	for _, waiting := range c.sortedWaiting() {
		actions.Decisions = append(actions.Decisions, c.giveUp(waiting, "log window passed"))
	}
	actions.Append = c.nextBatch()
	return actions
}

// Tick decides NotRun for waiting attempts whose deadline has passed, and retries appends unless the log is down.
func (c *Claimer) Tick(now time.Time) Actions {
	var actions Actions
	for _, waiting := range c.sortedWaiting() {
		if now.Before(waiting.deadline) {
			continue
		}
		actions.Decisions = append(actions.Decisions, c.giveUp(waiting, "no verdict from the log in time"))
	}
	c.appendsPaused = false
	if !c.logDown {
		actions.Append = c.nextBatch()
	}
	return actions
}

// giveUpAllIfLogUnavailable decides NotRun for all waiting attempts if both reads and appends fail, so that callers do
// not wait until their deadlines.
func (c *Claimer) giveUpAllIfLogUnavailable() []Decision {
	if !c.logDown || !c.appendFailed {
		return nil
	}
	var decisions []Decision
	for _, waiting := range c.sortedWaiting() {
		decisions = append(decisions, c.giveUp(waiting, "log unreachable"))
	}
	return decisions
}

// giveUp decides NotRun for the attempt and queues a void, so that the key can be claimed again.
func (c *Claimer) giveUp(waiting *attempt, reason string) Decision {
	delete(c.waiting, waiting.id)
	c.queueVoid(waiting.id, waiting.key)
	return Decision{
		Attempt: waiting.id,
		Verdict: NotRun,
		Reason:  reason,
	}
}

// Release voids the claim of an attempt that got Dispatch but sent no byte; it must not be dispatched afterwards.
func (c *Claimer) Release(id string) Actions {
	key, ok := c.dispatched[id]
	if !ok {
		return Actions{}
	}
	delete(c.dispatched, id)
	c.queueVoid(id, key)
	return Actions{Append: c.nextBatch()}
}

// AppendForPeer appends a void or an outcome of an attempt that another node gave up or dispatched; it ignores claims.
func (c *Claimer) AppendForPeer(r wire.ClaimRecord) Actions {
	delete(c.dispatched, r.Attempt)
	var actions Actions
	switch r.Type {
	case wire.ClaimRecordTypeVoid:
		if c.waiting[r.Attempt] != nil {
			delete(c.waiting, r.Attempt)
			actions = singleDecision(r.Attempt, NotRun, Holder{}, "given up by the node that asked")
		}
		c.queueVoid(r.Attempt, r.Key)
	case wire.ClaimRecordTypeOutcome:
		c.pending = append(c.pending, r)
	default:
		return Actions{}
	}
	actions.Append = c.nextBatch()
	return actions
}

// queueVoid queues a void for the attempt, or removes its claim from the queue if that was not sent yet.
func (c *Claimer) queueVoid(id, key string) {
	void := wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeVoid,
		Key:     key,
		Attempt: id,
	}
	c.unconfirmedVoids[id] = void
	for i, r := range c.pending {
		if r.Type == wire.ClaimRecordTypeClaim && r.Attempt == id {
			c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
			delete(c.unconfirmedVoids, id)
			return
		}
	}
	c.pending = append(c.pending, void)
}

// Finish appends the outcome of a dispatched attempt; the claimer sets the type, key and attempt of result.
func (c *Claimer) Finish(id string, result wire.ClaimRecord) Actions {
	key, ok := c.dispatched[id]
	if !ok {
		return Actions{}
	}
	result.Type = wire.ClaimRecordTypeOutcome
	result.Key = key
	result.Attempt = id
	c.pending = append(c.pending, result)
	return Actions{Append: c.nextBatch()}
}

// nextBatch starts the next append, or returns nil if one is in flight, appends are paused or nothing is queued.
func (c *Claimer) nextBatch() *Append {
	if c.inFlight != nil || c.appendsPaused || len(c.pending) == 0 {
		return nil
	}
	size := min(len(c.pending), MaxBatchRecords)
	c.inFlight = append([]wire.ClaimRecord{}, c.pending[:size]...)
	c.pending = append([]wire.ClaimRecord{}, c.pending[size:]...)
	c.lastBatch++
	return &Append{
		Batch:   c.lastBatch,
		Records: c.inFlight,
	}
}
