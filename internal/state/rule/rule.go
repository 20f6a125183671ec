package rule

import (
	"strings"
	"time"
)

// Limits on the values of a rule.
const (
	MaxTier         = 15
	DefaultDeadline = 60 * time.Second
)

// Any matches every value of a field.
const Any = "*"

// Rule sets the class of the requests that it matches, and what they are owed.
type Rule struct {
	name          string
	teams         []string
	service       string
	method        string
	pathPrefix    string
	model         string
	class         string
	tier          int
	firstToken    time.Duration
	betweenTokens time.Duration
	deadline      time.Duration
	idempotent    bool
}

// Class returns the name of the class of the matched requests.
func (r *Rule) Class() string { return r.class }

// Tier returns the service tier; 0 is the highest.
func (r *Rule) Tier() int { return r.tier }

// FirstTokenTarget returns the latency owed to the first token, zero for none.
func (r *Rule) FirstTokenTarget() time.Duration { return r.firstToken }

// InterTokenTarget returns the latency owed between tokens, zero for none.
func (r *Rule) InterTokenTarget() time.Duration { return r.betweenTokens }

// Deadline returns the time after which an answer is worthless.
func (r *Rule) Deadline() time.Duration { return r.deadline }

// Idempotent reports whether a matched request may run more than once.
func (r *Rule) Idempotent() bool { return r.idempotent }

// Request is what a rule is matched against.
type Request struct {
	Team    string
	Service string
	Method  string
	Path    string
	Model   string
}

func (r *Rule) matches(q Request) bool {
	return fits(r.service, q.Service) &&
		fits(r.method, q.Method) &&
		fits(r.model, q.Model) &&
		strings.HasPrefix(q.Path, r.pathPrefix)
}

func fits(pattern, value string) bool {
	return pattern == Any || pattern == value
}
