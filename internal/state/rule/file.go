package rule

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// Defaults of the settings that a rule file may override.
const (
	DefaultTrickleShare = 0.05
	DefaultRetryShare   = 0.10
)

// File is a valid rule file. It is immutable once parsed.
type File struct {
	text            string
	rules           []*Rule
	teams           map[string]*Team
	teamByTokenHash map[string]*Team
	rulesByTeam     map[string][]*Rule
	anyTeamRules    []*Rule
	fencingChecked  map[string]bool
	trickleShare    float64
	retryShare      float64
}

func newFile(text string) *File {
	return &File{
		text:            text,
		teams:           map[string]*Team{},
		teamByTokenHash: map[string]*Team{},
		rulesByTeam:     map[string][]*Rule{},
		fencingChecked:  map[string]bool{},
		trickleShare:    DefaultTrickleShare,
		retryShare:      DefaultRetryShare,
	}
}

// Text returns the unparsed text of the file.
func (f *File) Text() string { return f.text }

// Rules returns the rules in file order. The caller must not modify the slice.
func (f *File) Rules() []*Rule { return f.rules }

// TeamCount returns the number of teams.
func (f *File) TeamCount() int { return len(f.teams) }

// TrickleShare returns the share of starts, from 0 to 0.5, that goes to lower tiers in turn while a higher tier waits.
func (f *File) TrickleShare() float64 { return f.trickleShare }

// RetryShare returns the number of retries allowed per successful request, from 0 to 0.5.
func (f *File) RetryShare() float64 { return f.retryShare }

// FencingChecked reports whether the engines of a pool reject orders with an outdated fencing number.
func (f *File) FencingChecked(pool string) bool { return f.fencingChecked[pool] }

// Team returns the team with the given name.
func (f *File) Team(name string) (*Team, bool) {
	team, ok := f.teams[name]
	return team, ok
}

// TeamByToken returns the team that owns the token.
func (f *File) TeamByToken(token string) (*Team, bool) {
	hash := HashToken(token)
	team, ok := f.teamByTokenHash[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(team.tokenHash)) != 1 {
		return nil, false
	}
	return team, true
}

// buildIndex lists, in file order, the rules that apply to each named team and those that apply to any other team.
func (f *File) buildIndex() {
	namedTeams := map[string]bool{}
	for _, r := range f.rules {
		for _, team := range r.teams {
			namedTeams[team] = team != Any
		}
	}
	for _, r := range f.rules {
		if r.matchesAnyTeam() {
			f.anyTeamRules = append(f.anyTeamRules, r)
			for team, isName := range namedTeams {
				if isName {
					f.rulesByTeam[team] = append(f.rulesByTeam[team], r)
				}
			}
			continue
		}
		for _, team := range r.teams {
			f.rulesByTeam[team] = append(f.rulesByTeam[team], r)
		}
	}
}

func (r *Rule) matchesAnyTeam() bool {
	for _, team := range r.teams {
		if team == Any {
			return true
		}
	}
	return false
}

// Match returns the first rule in file order that matches the request.
func (f *File) Match(q Request) (*Rule, bool) {
	rules, known := f.rulesByTeam[q.Team]
	if !known {
		rules = f.anyTeamRules
	}
	for _, r := range rules {
		if r.matches(q) {
			return r, true
		}
	}
	return nil, false
}

// Hash returns the SHA-256 of a rule file's text in hexadecimal.
func Hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// SplitLines returns the lines of a text without their line endings.
func SplitLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}
