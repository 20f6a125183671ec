package rule

import (
	"strings"
	"time"
)

// MaxTier is the lowest priority tier of a rule; DefaultDeadline is the deadline of a rule that sets none.
const (
	MaxTier         = 15
	DefaultDeadline = 60 * time.Second
)

// Any is the pattern that matches every value of a field.
const Any = "*"

// Rule assigns a class, a tier, latency targets and a deadline to the requests that it matches.
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

// Class returns the class of the matched requests.
func (r *Rule) Class() string { return r.class }

// Tier returns the priority tier of the matched requests; 0 is the highest.
func (r *Rule) Tier() int { return r.tier }

// FirstTokenTarget returns the target time to the first token, zero for none.
func (r *Rule) FirstTokenTarget() time.Duration { return r.firstToken }

// InterTokenTarget returns the target time between two tokens, zero for none.
func (r *Rule) InterTokenTarget() time.Duration { return r.betweenTokens }

// Deadline returns the time after which a response is worthless.
func (r *Rule) Deadline() time.Duration { return r.deadline }

// Idempotent reports whether a matched request may run more than once.
func (r *Rule) Idempotent() bool { return r.idempotent }

// Request holds the properties of a request that rules match.
type Request struct {
	Team    string
	Service string
	Method  string
	Path    string
	Model   string
}

func (r *Rule) matches(q Request) bool {
	return matchesPattern(r.service, q.Service) &&
		matchesPattern(r.method, q.Method) &&
		matchesPattern(r.model, q.Model) &&
		strings.HasPrefix(q.Path, r.pathPrefix)
}

func matchesPattern(pattern, value string) bool {
	return pattern == Any || pattern == value
}
