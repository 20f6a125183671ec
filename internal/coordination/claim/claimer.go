package claim

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// MaxBatchRecords bounds the records of one append.
const MaxBatchRecords = 256

type attempt struct {
	id       string
	key      string
	digest   string
	deadline time.Time
}

// Claimer runs the claims of one node on one partition; it is not safe for concurrent use.
type Claimer struct {
	// Index is the fold of the partition's stream.
	Index *Index

	waiting  map[string]*attempt
	own      map[string]string
	voiding  map[string]wire.ClaimRecord
	pending  []wire.ClaimRecord
	inFlight []wire.ClaimRecord
	batch    int
	logDown  bool
	blocked  bool
	failing  bool
}

// NewClaimer returns a claimer over an index.
func NewClaimer(index *Index) *Claimer {
	return &Claimer{
		Index:   index,
		waiting: map[string]*attempt{},
		own:     map[string]string{},
		voiding: map[string]wire.ClaimRecord{},
	}
}

// Waiting returns the number of attempts without a verdict.
func (c *Claimer) Waiting() int { return len(c.waiting) }

// Unwritten returns the number of records that are not known to be in the log.
func (c *Claimer) Unwritten() int { return len(c.pending) + len(c.inFlight) }

// Submit asks for the key on behalf of an attempt, which must be decided before the deadline.
func (c *Claimer) Submit(id, key, digest string, deadline time.Time) Actions {
	if reason := c.refusal(); reason != "" {
		return decide(id, NotRun, Holder{}, reason)
	}
	if holder, held := c.Index.Holder(key); held {
		if _, voiding := c.voiding[holder.attempt]; !voiding {
			return Actions{Decisions: []Decision{judge(id, digest, holder)}}
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

func (c *Claimer) refusal() string {
	if !c.Index.Ready() {
		return "claims not read yet"
	}
	if c.logDown {
		return "log unreachable"
	}
	if c.failing && c.inFlight != nil {
		return "log does not take appends"
	}
	return ""
}

// SetLogDown tells the claimer whether the log is known to be unreachable.
func (c *Claimer) SetLogDown(down bool) Actions {
	c.logDown = down
	if down {
		return Actions{Decisions: c.giveUpWhenOut()}
	}
	c.blocked = false
	return Actions{Append: c.nextBatch()}
}

// AppendDone reports what became of a batch.
func (c *Claimer) AppendDone(batch int, result AppendResult) Actions {
	if batch != c.batch || c.inFlight == nil {
		return Actions{}
	}
	sent := c.inFlight
	c.inFlight = nil
	var actions Actions
	switch result {
	case Appended:
		c.confirm(sent)
	case NotAppended:
		actions.Decisions = c.refuseClaims(sent)
		c.requeue(sent)
	case MaybeAppended:
		c.requeue(sent)
	}
	c.blocked = result != Appended
	c.failing = c.blocked
	actions.Decisions = append(actions.Decisions, c.giveUpWhenOut()...)
	if !c.blocked {
		actions.Append = c.nextBatch()
	}
	return actions
}

func (c *Claimer) confirm(sent []wire.ClaimRecord) {
	for _, r := range sent {
		if r.Type == wire.ClaimRecordTypeOutcome {
			delete(c.own, r.Attempt)
		}
	}
}

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

// requeue keeps outcomes and voids, which are harmless to repeat; a claim is never appended twice.
func (c *Claimer) requeue(sent []wire.ClaimRecord) {
	var again []wire.ClaimRecord
	for _, r := range sent {
		if r.Type != wire.ClaimRecordTypeClaim {
			again = append(again, r)
		}
	}
	c.pending = append(again, c.pending...)
}

// ApplyRecord folds one log record and decides the attempts that it settles.
func (c *Claimer) ApplyRecord(entry wire.LogRecord, now time.Time) Actions {
	r, ok := c.Index.Apply(entry)
	if !ok {
		return Actions{}
	}
	if r.Type == wire.ClaimRecordTypeVoid {
		delete(c.voiding, r.Attempt)
		return Actions{}
	}
	waiting := c.waiting[r.Attempt]
	if r.Type != wire.ClaimRecordTypeClaim || waiting == nil {
		return Actions{}
	}
	delete(c.waiting, r.Attempt)
	holder, held := c.Index.Holder(waiting.key)
	if !held || holder.attempt != waiting.id {
		return Actions{Decisions: []Decision{judge(waiting.id, waiting.digest, holder)}}
	}
	if !now.Before(waiting.deadline) {
		decision := c.giveUp(waiting, "claim decided too late")
		return Actions{
			Decisions: []Decision{decision},
			Append:    c.nextBatch(),
		}
	}
	c.own[waiting.id] = waiting.key
	return decide(waiting.id, Dispatch, holder, "")
}

// Restart tells the claimer that the log dropped records that were not read; reading begins again.
func (c *Claimer) Restart(oldest, next int) Actions {
	c.Index.Restart(oldest, next)
	var actions Actions
	for _, waiting := range c.sortedWaiting() {
		actions.Decisions = append(actions.Decisions, c.giveUp(waiting, "log window passed"))
	}
	actions.Append = c.nextBatch()
	return actions
}

// Tick refuses the attempts whose deadline has passed without a verdict, and retries appends.
func (c *Claimer) Tick(now time.Time) Actions {
	var actions Actions
	for _, waiting := range c.sortedWaiting() {
		if now.Before(waiting.deadline) {
			continue
		}
		actions.Decisions = append(actions.Decisions, c.giveUp(waiting, "no verdict from the log in time"))
	}
	c.blocked = false
	if !c.logDown {
		actions.Append = c.nextBatch()
	}
	return actions
}

// giveUpWhenOut refuses everything that waits once neither appends nor reads go through, rather than let it wait.
func (c *Claimer) giveUpWhenOut() []Decision {
	if !c.logDown || !c.failing {
		return nil
	}
	var decisions []Decision
	for _, waiting := range c.sortedWaiting() {
		decisions = append(decisions, c.giveUp(waiting, "log unreachable"))
	}
	return decisions
}

// giveUp never dispatches the attempt, and appends a void so that the key can be claimed again.
func (c *Claimer) giveUp(waiting *attempt, reason string) Decision {
	delete(c.waiting, waiting.id)
	c.queueVoid(waiting.id, waiting.key)
	return Decision{
		Attempt: waiting.id,
		Verdict: NotRun,
		Reason:  reason,
	}
}

// Release gives up a dispatch verdict of which no byte was sent; it must never be dispatched afterwards.
func (c *Claimer) Release(id string) Actions {
	key, own := c.own[id]
	if !own {
		return Actions{}
	}
	delete(c.own, id)
	c.queueVoid(id, key)
	return Actions{Append: c.nextBatch()}
}

// AppendForPeer appends a void or an outcome on behalf of another node, which dispatches or gave up the attempt itself.
func (c *Claimer) AppendForPeer(r wire.ClaimRecord) Actions {
	delete(c.own, r.Attempt)
	var actions Actions
	switch r.Type {
	case wire.ClaimRecordTypeVoid:
		if c.waiting[r.Attempt] != nil {
			delete(c.waiting, r.Attempt)
			actions = decide(r.Attempt, NotRun, Holder{}, "given up by the node that asked")
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

func (c *Claimer) queueVoid(id, key string) {
	void := wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeVoid,
		Key:     key,
		Attempt: id,
	}
	c.voiding[id] = void
	for i, r := range c.pending {
		if r.Type == wire.ClaimRecordTypeClaim && r.Attempt == id {
			c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
			delete(c.voiding, id)
			return
		}
	}
	c.pending = append(c.pending, void)
}

// Finish records the outcome of a dispatched attempt.
func (c *Claimer) Finish(id string, result wire.ClaimRecord) Actions {
	key, own := c.own[id]
	if !own {
		return Actions{}
	}
	result.Type = wire.ClaimRecordTypeOutcome
	result.Key = key
	result.Attempt = id
	c.pending = append(c.pending, result)
	return Actions{Append: c.nextBatch()}
}

func (c *Claimer) nextBatch() *Append {
	if c.inFlight != nil || c.blocked || len(c.pending) == 0 {
		return nil
	}
	size := min(len(c.pending), MaxBatchRecords)
	c.inFlight = append([]wire.ClaimRecord{}, c.pending[:size]...)
	c.pending = append([]wire.ClaimRecord{}, c.pending[size:]...)
	c.batch++
	return &Append{
		Batch:   c.batch,
		Records: c.inFlight,
	}
}
