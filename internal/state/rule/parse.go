package rule

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var (
	namePattern      = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	tokenHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether a text is a name in kebab case of 1 to 64 characters.
func IsName(text string) bool { return namePattern.MatchString(text) }

// IsTokenHash reports whether a text has the format of HashToken, in which a rule file stores tokens.
func IsTokenHash(text string) bool { return tokenHashPattern.MatchString(text) }

// Problems lists all errors found in a rule file.
type Problems []Problem

// Error returns the problems, one per line.
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
	// definedAt holds the line number of each definition, such as rule=orders.
	definedAt map[string]int
}

// Parse parses and validates a rule file. The error is of type Problems and lists every problem.
func Parse(text string) (*File, error) {
	p := &parser{
		file:      newFile(text),
		definedAt: map[string]int{},
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
		p.parseLine()
	}
	p.checkClasses()
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	p.file.buildIndex()
	return p.file, nil
}

func (p *parser) addProblem(key, format string, args ...any) {
	p.problems = append(p.problems, Problem{
		Line:   p.current.number,
		Field:  key,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (p *parser) parseLine() {
	if len(p.current.fields) == 0 {
		return
	}
	first := p.current.fields[0]
	if !IsName(first.value) {
		p.addProblem(first.key, "expected a name in kebab case of at most 64 characters, not %q", first.value)
	}
	if firstLine, duplicate := p.definedAt[first.key+"="+first.value]; duplicate {
		p.addProblem(first.key, "%s is already defined on line %d", first.value, firstLine)
	}
	p.definedAt[first.key+"="+first.value] = p.current.number
	switch first.key {
	case "team":
		p.parseTeam()
	case "rule":
		p.parseRule()
	case "pool":
		p.parsePool()
	case "setting":
		p.parseSetting()
	default:
		p.addProblem(first.key, "expected the line to begin with team=, rule=, pool= or setting=")
	}
}

func (p *parser) parseTeam() {
	team := &Team{name: p.current.fields[0].value}
	for _, f := range p.current.fields[1:] {
		switch f.key {
		case "token-sha256":
			team.tokenHash = f.value
			if !IsTokenHash(f.value) {
				p.addProblem(f.key, "expected 64 hexadecimal digits in lower case")
			}
		case "requests-per-second":
			team.requestsPerSecond = p.parseRate(f)
		case "tokens-per-second":
			team.tokensPerSecond = p.parseRate(f)
		default:
			p.addProblem(f.key, "unknown field of a team; expected token-sha256, requests-per-second or tokens-per-second")
		}
	}
	if team.tokenHash == "" {
		p.addProblem("token-sha256", "missing")
	}
	if other := p.file.teamByTokenHash[team.tokenHash]; other != nil && team.tokenHash != "" {
		p.addProblem("token-sha256", "same token as team %s", other.name)
	}
	p.file.teams[team.name] = team
	p.file.teamByTokenHash[team.tokenHash] = team
}

func (p *parser) parseRule() {
	r := &Rule{
		name:     p.current.fields[0].value,
		teams:    []string{Any},
		service:  Any,
		method:   Any,
		model:    Any,
		tier:     -1,
		deadline: DefaultDeadline,
	}
	hasIdempotent := false
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
			r.tier = p.parseTier(f)
		case "first-token":
			r.firstToken = p.parseDuration(f)
		case "between-tokens":
			r.betweenTokens = p.parseDuration(f)
		case "deadline":
			r.deadline = p.parseDuration(f)
		case "idempotent":
			r.idempotent = p.parseYesNo(f)
			hasIdempotent = true
		default:
			p.addProblem(f.key, "unknown field of a rule")
		}
	}
	p.checkRule(r, hasIdempotent)
	p.file.rules = append(p.file.rules, r)
}

// checkRule checks the required fields of a rule and the names of its teams.
func (p *parser) checkRule(r *Rule, hasIdempotent bool) {
	if !IsName(r.class) {
		p.addProblem("class", "expected a name in kebab case")
	}
	if r.tier < 0 {
		p.addProblem("tier", "expected a whole number from 0 (highest) to %d", MaxTier)
	}
	if !hasIdempotent {
		p.addProblem("idempotent", "expected yes or no")
	}
	for _, team := range r.teams {
		if team != Any && !IsName(team) {
			p.addProblem("team", "expected * or names in kebab case separated by commas, not %q", team)
		}
	}
}

func (p *parser) parsePool() {
	name := p.current.fields[0].value
	for _, f := range p.current.fields[1:] {
		if f.key != "fencing" || (f.value != "checked" && f.value != "ignored") {
			p.addProblem(f.key, "expected fencing=checked or fencing=ignored")
			continue
		}
		p.file.fencingChecked[name] = f.value == "checked"
	}
}

func (p *parser) parseSetting() {
	name := p.current.fields[0].value
	if len(p.current.fields) != 2 || p.current.fields[1].key != "value" {
		p.addProblem(name, "expected exactly value=")
		return
	}
	value := p.current.fields[1]
	switch name {
	case "trickle-share":
		p.file.trickleShare = p.parseShare(value)
	case "retry-share":
		p.file.retryShare = p.parseShare(value)
	default:
		p.addProblem("setting", "expected trickle-share or retry-share, not %q", name)
	}
}

func (p *parser) parseRate(f field) float64 {
	value, err := strconv.ParseFloat(f.value, 64)
	if err != nil || value <= 0 || value > 1e9 {
		p.addProblem(f.key, "expected a positive number per second, not %q", f.value)
	}
	return value
}

func (p *parser) parseShare(f field) float64 {
	value, err := strconv.ParseFloat(f.value, 64)
	if err != nil || !(value >= 0 && value <= 0.5) {
		p.addProblem(f.key, "expected a share from 0 to 0.5, not %q", f.value)
	}
	return value
}

// parseTier returns -1 for an invalid tier, which checkRule reports.
func (p *parser) parseTier(f field) int {
	value, err := strconv.Atoi(f.value)
	if err != nil || value < 0 || value > MaxTier {
		return -1
	}
	return value
}

func (p *parser) parseDuration(f field) time.Duration {
	value, err := time.ParseDuration(f.value)
	if err != nil || value <= 0 || value > time.Hour {
		p.addProblem(f.key, "expected a duration such as 760ms, above 0 and at most 1h, not %q", f.value)
	}
	return value
}

func (p *parser) parseYesNo(f field) bool {
	if f.value != "yes" && f.value != "no" {
		p.addProblem(f.key, "expected yes or no, not %q", f.value)
	}
	return f.value == "yes"
}

// checkClasses checks that all rules of a class have the same tier and the same idempotent field.
func (p *parser) checkClasses() {
	firstByClass := map[string]*Rule{}
	for _, r := range p.file.rules {
		other, seen := firstByClass[r.class]
		if !seen {
			firstByClass[r.class] = r
			continue
		}
		if other.tier != r.tier || other.idempotent != r.idempotent {
			p.problems = append(p.problems, Problem{
				Line:  p.definedAt["rule="+r.name],
				Field: "class",
				Reason: fmt.Sprintf("class %s has a different tier or idempotent field on line %d", r.class,
					p.definedAt["rule="+other.name]),
			})
		}
	}
}
