package memory

import (
	"fmt"
	"sync/atomic"
)

// Use is what memory is held for.
type Use int

// The uses of memory.
const (
	// Connections are callers' connections, idle or not, with the headers that arrive on them.
	Connections Use = iota
	// Requests are the requests in flight, with their bodies.
	Requests
	// Answers are upstreams' answers that are held until they are complete.
	Answers
	// Events are the unfinished events of streams.
	Events
	// Uses is the number of uses.
	Uses
)

// String returns the use's name.
func (u Use) String() string {
	return [Uses]string{"connections", "requests", "answers", "events"}[u]
}

const (
	// DefaultLimit is the memory of the smallest VM that the gateway is made for, used if the limit is unknown.
	DefaultLimit = 112 << 20
	// budgetPart is the part of the memory limit that a Budget divides, as its inverse. The rest is for the program, the
	// routes, peers, and garbage that is not collected yet.
	budgetPart = 4
	// shareUnits is the sum of all shares.
	shareUnits = 16
)

// shares are the parts of the budget by use.
var shares = [Uses]int64{
	Connections: 7,
	Requests:    5,
	Answers:     3,
	Events:      1,
}

// Budget counts the bytes that are held for each use, and keeps each within its share. It is safe for concurrent use.
type Budget struct {
	accounts [Uses]account
}

type account struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Int64
}

// NewBudget returns the budget of a VM with a memory limit in bytes; 0 means that it is unknown.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = DefaultLimit
	}
	b := &Budget{}
	for use := range b.accounts {
		b.accounts[use].limit = limit / budgetPart * shares[use] / shareUnits
	}
	return b
}

// Reserve takes bytes for a use, and reports whether they were free. A refusal is counted and takes nothing.
func (b *Budget) Reserve(use Use, bytes int64) bool {
	a := &b.accounts[use]
	for {
		held := a.held.Load()
		if held+bytes > a.limit {
			a.refused.Add(1)
			return false
		}
		if a.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Fits reports whether bytes are free for a use now, and reserves nothing. A refusal is counted.
func (b *Budget) Fits(use Use, bytes int64) bool {
	a := &b.accounts[use]
	if a.held.Load()+bytes <= a.limit {
		return true
	}
	a.refused.Add(1)
	return false
}

// Release returns bytes that were reserved.
func (b *Budget) Release(use Use, bytes int64) {
	if held := b.accounts[use].held.Add(-bytes); held < 0 {
		panic(fmt.Sprintf("%d more bytes released than reserved for %s", -held, use))
	}
}

// Limit returns the share of a use in bytes.
func (b *Budget) Limit(use Use) int64 { return b.accounts[use].limit }

// Held returns the bytes that are reserved for a use.
func (b *Budget) Held(use Use) int64 { return b.accounts[use].held.Load() }

// Refused returns how often a use found no room.
func (b *Budget) Refused(use Use) int64 { return b.accounts[use].refused.Load() }
