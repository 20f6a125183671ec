package rule

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// Defaults of the settings that a rule file may change.
const (
	DefaultTrickleShare = 0.05
	DefaultRetryShare   = 0.10
)

// File is a valid rule file; it does not change after Parse.
type File struct {
	text           string
	rules          []*Rule
	teams          map[string]*Team
	byToken        map[string]*Team
	byTeam         map[string][]*Rule
	forAny         []*Rule
	fencingChecked map[string]bool
	trickleShare   float64
	retryShare     float64
}

func newFile(text string) *File {
	return &File{
		text:           text,
		teams:          map[string]*Team{},
		byToken:        map[string]*Team{},
		byTeam:         map[string][]*Rule{},
		fencingChecked: map[string]bool{},
		trickleShare:   DefaultTrickleShare,
		retryShare:     DefaultRetryShare,
	}
}

// Text returns the file as it was written.
func (f *File) Text() string { return f.text }

// Rules returns the rules in file order; the caller must not change the slice.
func (f *File) Rules() []*Rule { return f.rules }

// TeamCount returns the number of teams.
func (f *File) TeamCount() int { return len(f.teams) }

// TrickleShare returns the share of dispatches kept for the longest-waiting lower tier.
func (f *File) TrickleShare() float64 { return f.trickleShare }

// RetryShare returns the retries allowed as a share of successes.
func (f *File) RetryShare() float64 { return f.retryShare }

// FencingChecked reports whether the engines of a pool refuse orders with an old fencing number.
func (f *File) FencingChecked(pool string) bool { return f.fencingChecked[pool] }

// Team returns the team of that name.
func (f *File) Team(name string) (*Team, bool) {
	team, ok := f.teams[name]
	return team, ok
}

// TeamByToken returns the team that holds the token.
func (f *File) TeamByToken(token string) (*Team, bool) {
	hash := HashToken(token)
	team, ok := f.byToken[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(team.tokenHash)) != 1 {
		return nil, false
	}
	return team, true
}

func (f *File) index() {
	named := map[string]bool{}
	for _, r := range f.rules {
		for _, team := range r.teams {
			named[team] = team != Any
		}
	}
	for _, r := range f.rules {
		if r.anyTeam() {
			f.forAny = append(f.forAny, r)
			for team, single := range named {
				if single {
					f.byTeam[team] = append(f.byTeam[team], r)
				}
			}
			continue
		}
		for _, team := range r.teams {
			f.byTeam[team] = append(f.byTeam[team], r)
		}
	}
}

func (r *Rule) anyTeam() bool {
	for _, team := range r.teams {
		if team == Any {
			return true
		}
	}
	return false
}

// Match returns the first rule in file order that matches the request.
func (f *File) Match(q Request) (*Rule, bool) {
	rules, named := f.byTeam[q.Team]
	if !named {
		rules = f.forAny
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

// SplitLines returns the lines of a text without their line ends.
func SplitLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}
