package claim

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// Limits of a Claimer.
const (
	// MaxBatchRecords is the maximum number of records in one append.
	MaxBatchRecords = 256
	// MaxWaiting is the maximum number of attempts without a verdict.
	MaxWaiting = 4 * MaxBatchRecords
	// maxUnwrittenWithBody is the number of unwritten records from which on outcomes are queued without their answers.
	maxUnwrittenWithBody = MaxBatchRecords
)

// attempt is a submitted attempt to claim a key, without a verdict yet; digest is the hash of its request.
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
	// queue holds the records to append after those in flight, in order.
	queue []wire.ClaimRecord
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
func (c *Claimer) Unwritten() int { return len(c.queue) + len(c.inFlight) }

// Submit claims the key for an attempt, which gets NotRun if it has no verdict by the deadline.
//
// A key whose holder has an unconfirmed void can be claimed again at once, since the claim is queued behind the void.
func (c *Claimer) Submit(id, key, digest string, deadline time.Time) Actions {
	if reason := c.refusal(); reason != "" {
		return singleDecision(id, NotRun, Holder{}, reason)
	}
	if holder, held := c.Index.Holder(key); held {
		if _, voiding := c.unconfirmedVoids[holder.attempt]; !voiding {
			return Actions{Decisions: []Decision{decisionFor(id, digest, holder)}}
		}
	}
	if len(c.waiting) >= MaxWaiting {
		return singleDecision(id, NotRun, Holder{}, "too many claims wait for the log")
	}
	c.waiting[id] = &attempt{
		id:       id,
		key:      key,
		digest:   digest,
		deadline: deadline,
	}
	c.queue = append(c.queue, wire.ClaimRecord{
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

// SkipRecord takes a record that can't be appended, such as one that is too long, out of a batch in flight; it is called
// before AppendDone.
//
// Without its outcome or void, a claim stays in force, so that later attempts get Unknown.
func (c *Claimer) SkipRecord(batch int, r wire.ClaimRecord) Actions {
	if batch != c.lastBatch || c.inFlight == nil {
		return Actions{}
	}
	kept := make([]wire.ClaimRecord, 0, len(c.inFlight))
	for _, sent := range c.inFlight {
		if sent.Type != r.Type || sent.Attempt != r.Attempt {
			kept = append(kept, sent)
		}
	}
	c.inFlight = kept
	switch r.Type {
	case wire.ClaimRecordTypeClaim:
		return Actions{Decisions: c.refuseClaims([]wire.ClaimRecord{r})}
	case wire.ClaimRecordTypeOutcome:
		delete(c.dispatched, r.Attempt)
	case wire.ClaimRecordTypeVoid:
		delete(c.unconfirmedVoids, r.Attempt)
	}
	return Actions{}
}

// confirmOutcomes removes the dispatched attempts whose outcomes were appended.
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
//
// Claims are not requeued, so that none is appended twice: after NotAppended their attempts have got NotRun, and after
// MaybeAppended the attempts wait until the claim is read from the log or the deadline passes.
func (c *Claimer) requeue(sent []wire.ClaimRecord) {
	var retries []wire.ClaimRecord
	for _, r := range sent {
		if r.Type != wire.ClaimRecordTypeClaim {
			retries = append(retries, r)
		}
	}
	c.queue = append(retries, c.queue...)
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
	a := c.waiting[r.Attempt]
	if r.Type != wire.ClaimRecordTypeClaim || a == nil {
		return Actions{}
	}
	delete(c.waiting, r.Attempt)
	holder, held := c.Index.Holder(a.key)
	if !held || holder.attempt != a.id {
		return Actions{Decisions: []Decision{decisionFor(a.id, a.digest, holder)}}
	}
	if !now.Before(a.deadline) {
		decision := c.giveUp(a, "claim decided too late")
		return Actions{
			Decisions: []Decision{decision},
			Append:    c.nextBatch(),
		}
	}
	c.dispatched[a.id] = a.key
	return singleDecision(a.id, Dispatch, holder, "")
}

// Restart starts reading at oldest, either for the first time or because the log truncated records that were not read;
// the index is ready once all records before end have been read.
//
// All waiting attempts get NotRun, because their claims may be among the truncated records.
func (c *Claimer) Restart(oldest, end int) Actions {
	c.Index.Restart(oldest, end)
	var actions Actions
	for _, a := range c.sortedWaiting() {
		actions.Decisions = append(actions.Decisions, c.giveUp(a, "log window passed"))
	}
	actions.Append = c.nextBatch()
	return actions
}

// Tick decides NotRun for waiting attempts whose deadline has passed, and retries appends unless the log is down.
func (c *Claimer) Tick(now time.Time) Actions {
	var actions Actions
	for _, a := range c.sortedWaiting() {
		if now.Before(a.deadline) {
			continue
		}
		actions.Decisions = append(actions.Decisions, c.giveUp(a, "no verdict from the log in time"))
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
	for _, a := range c.sortedWaiting() {
		decisions = append(decisions, c.giveUp(a, "log unreachable"))
	}
	return decisions
}

// giveUp decides NotRun for the attempt and queues a void, so that the key can be claimed again.
func (c *Claimer) giveUp(a *attempt, reason string) Decision {
	delete(c.waiting, a.id)
	c.queueVoid(a.id, a.key)
	return Decision{
		Attempt: a.id,
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
		c.queueOutcome(r)
	default:
		return Actions{}
	}
	actions.Append = c.nextBatch()
	return actions
}

// queueOutcome queues an outcome, without the answer if many records are unwritten, such as during an outage of the log.
func (c *Claimer) queueOutcome(r wire.ClaimRecord) {
	if c.Unwritten() >= maxUnwrittenWithBody {
		r.Body = ""
		r.BodyKept = false
	}
	c.queue = append(c.queue, r)
}

// queueVoid queues a void for the attempt, or removes its claim from the queue if that was not sent yet.
func (c *Claimer) queueVoid(id, key string) {
	void := wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeVoid,
		Key:     key,
		Attempt: id,
	}
	c.unconfirmedVoids[id] = void
	for i, r := range c.queue {
		if r.Type == wire.ClaimRecordTypeClaim && r.Attempt == id {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			delete(c.unconfirmedVoids, id)
			return
		}
	}
	c.queue = append(c.queue, void)
}

// Finish appends r as the outcome of a dispatched attempt, after setting its type, key and attempt.
func (c *Claimer) Finish(id string, r wire.ClaimRecord) Actions {
	key, ok := c.dispatched[id]
	if !ok {
		return Actions{}
	}
	r.Type = wire.ClaimRecordTypeOutcome
	r.Key = key
	r.Attempt = id
	c.queueOutcome(r)
	return Actions{Append: c.nextBatch()}
}

// nextBatch starts the next append, or returns nil if one is in flight, appends are paused or nothing is queued.
func (c *Claimer) nextBatch() *Append {
	if c.inFlight != nil || c.appendsPaused || len(c.queue) == 0 {
		return nil
	}
	size := min(len(c.queue), MaxBatchRecords)
	c.inFlight = append([]wire.ClaimRecord{}, c.queue[:size]...)
	c.queue = append([]wire.ClaimRecord{}, c.queue[size:]...)
	c.lastBatch++
	return &Append{
		Batch:   c.lastBatch,
		Records: c.inFlight,
	}
}
