package rule

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether a text is a name in kebab case of at most 64 characters.
func IsName(text string) bool { return namePattern.MatchString(text) }

// IsTokenHash reports whether a text has the form in which tokens stand in a rule file.
func IsTokenHash(text string) bool { return hashPattern.MatchString(text) }

// Problems is every fault found in a rule file.
type Problems []Problem

// Error lists the faults, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

type parser struct {
	file     *File
	problems Problems
	current  line
	seen     map[string]int
}

// Parse reads a rule file; the error is of type Problems and names every fault at once.
func Parse(text string) (*File, error) {
	p := &parser{
		file: newFile(text),
		seen: map[string]int{},
	}
	if len(text) > MaxFileBytes {
		return nil, Problems{{Line: 0, Reason: fmt.Sprintf("file longer than %d bytes", MaxFileBytes)}}
	}
	for i, raw := range SplitLines(text) {
		trimmed := strings.TrimSpace(raw)
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		parsed, problems := splitLine(i+1, trimmed)
		p.problems = append(p.problems, problems...)
		p.current = parsed
		p.line()
	}
	p.checkClasses()
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	p.file.index()
	return p.file, nil
}

func (p *parser) fault(key, format string, args ...any) {
	p.problems = append(p.problems, Problem{
		Line:   p.current.number,
		Field:  key,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (p *parser) line() {
	if len(p.current.fields) == 0 {
		return
	}
	first := p.current.fields[0]
	if !IsName(first.value) {
		p.fault(first.key, "expected a name in kebab case of at most 64 characters, not %q", first.value)
	}
	if before, twice := p.seen[first.key+"="+first.value]; twice {
		p.fault(first.key, "%s stands already in line %d", first.value, before)
	}
	p.seen[first.key+"="+first.value] = p.current.number
	switch first.key {
	case "team":
		p.team()
	case "rule":
		p.rule()
	case "pool":
		p.pool()
	case "setting":
		p.setting()
	default:
		p.fault(first.key, "expected the line to begin with team=, rule=, pool= or setting=")
	}
}

func (p *parser) team() {
	team := &Team{name: p.current.fields[0].value}
	for _, f := range p.current.fields[1:] {
		switch f.key {
		case "token-sha256":
			team.tokenHash = f.value
			if !IsTokenHash(f.value) {
				p.fault(f.key, "expected 64 hexadecimal digits in lower case")
			}
		case "requests-per-second":
			team.requestsPerSecond = p.rate(f)
		case "tokens-per-second":
			team.tokensPerSecond = p.rate(f)
		default:
			p.fault(f.key, "unknown field of a team; expected token-sha256, requests-per-second or tokens-per-second")
		}
	}
	if team.tokenHash == "" {
		p.fault("token-sha256", "missing")
	}
	if other := p.file.byToken[team.tokenHash]; other != nil && team.tokenHash != "" {
		p.fault("token-sha256", "same token as team %s", other.name)
	}
	p.file.teams[team.name] = team
	p.file.byToken[team.tokenHash] = team
}

func (p *parser) rule() {
	r := &Rule{
		name:     p.current.fields[0].value,
		teams:    []string{Any},
		service:  Any,
		method:   Any,
		model:    Any,
		tier:     -1,
		deadline: DefaultDeadline,
	}
	idempotentGiven := false
	for _, f := range p.current.fields[1:] {
		switch f.key {
		case "team":
			r.teams = strings.Split(f.value, ",")
		case "service":
			r.service = f.value
		case "method":
			r.method = strings.ToUpper(f.value)
		case "path-prefix":
			r.pathPrefix = f.value
		case "model":
			r.model = f.value
		case "class":
			r.class = f.value
		case "tier":
			r.tier = p.tier(f)
		case "first-token":
			r.firstToken = p.duration(f)
		case "between-tokens":
			r.betweenTokens = p.duration(f)
		case "deadline":
			r.deadline = p.duration(f)
		case "idempotent":
			r.idempotent = p.yesNo(f)
			idempotentGiven = true
		default:
			p.fault(f.key, "unknown field of a rule")
		}
	}
	p.require(r, idempotentGiven)
	p.file.rules = append(p.file.rules, r)
}

func (p *parser) require(r *Rule, idempotentGiven bool) {
	if !IsName(r.class) {
		p.fault("class", "expected a name in kebab case")
	}
	if r.tier < 0 {
		p.fault("tier", "expected a whole number from 0 (highest) to %d", MaxTier)
	}
	if !idempotentGiven {
		p.fault("idempotent", "expected yes or no")
	}
	for _, team := range r.teams {
		if team != Any && !IsName(team) {
			p.fault("team", "expected * or names in kebab case split by commas, not %q", team)
		}
	}
}

func (p *parser) pool() {
	name := p.current.fields[0].value
	for _, f := range p.current.fields[1:] {
		if f.key != "fencing" || (f.value != "checked" && f.value != "ignored") {
			p.fault(f.key, "expected fencing=checked or fencing=ignored")
			continue
		}
		p.file.fencingChecked[name] = f.value == "checked"
	}
}

func (p *parser) setting() {
	name := p.current.fields[0].value
	if len(p.current.fields) != 2 || p.current.fields[1].key != "value" {
		p.fault(name, "expected exactly value=")
		return
	}
	value := p.current.fields[1]
	switch name {
	case "trickle-share":
		p.file.trickleShare = p.share(value)
	case "retry-share":
		p.file.retryShare = p.share(value)
	default:
		p.fault("setting", "expected trickle-share or retry-share, not %q", name)
	}
}

func (p *parser) rate(f field) float64 {
	value, err := strconv.ParseFloat(f.value, 64)
	if err != nil || value <= 0 || value > 1e9 {
		p.fault(f.key, "expected a positive number per second, not %q", f.value)
	}
	return value
}

func (p *parser) share(f field) float64 {
	value, err := strconv.ParseFloat(f.value, 64)
	if err != nil || !(value >= 0 && value <= 0.5) {
		p.fault(f.key, "expected a share from 0 to 0.5, not %q", f.value)
	}
	return value
}

func (p *parser) tier(f field) int {
	value, err := strconv.Atoi(f.value)
	if err != nil || value < 0 || value > MaxTier {
		return -1
	}
	return value
}

func (p *parser) duration(f field) time.Duration {
	value, err := time.ParseDuration(f.value)
	if err != nil || value <= 0 || value > time.Hour {
		p.fault(f.key, "expected a duration such as 760ms, above 0 and at most 1h, not %q", f.value)
	}
	return value
}

func (p *parser) yesNo(f field) bool {
	if f.value != "yes" && f.value != "no" {
		p.fault(f.key, "expected yes or no, not %q", f.value)
	}
	return f.value == "yes"
}

func (p *parser) checkClasses() {
	first := map[string]*Rule{}
	for _, r := range p.file.rules {
		other, seen := first[r.class]
		if !seen {
			first[r.class] = r
			continue
		}
		if other.tier != r.tier || other.idempotent != r.idempotent {
			p.problems = append(p.problems, Problem{
				Line:   p.seen["rule="+r.name],
				Field:  "class",
				Reason: fmt.Sprintf("class %s has another tier or idempotent in line %d", r.class, p.seen["rule="+other.name]),
			})
		}
	}
}
