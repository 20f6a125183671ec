package rule

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

func TestParseErrorNamesLineAndField(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		line int
		want string
	}{
		{
			name: "missing comment",
			text: "rule=a class=a tier=1 idempotent=yes",
			line: 1,
			want: "comment",
		},
		{
			name: "empty comment",
			text: "rule=a class=a tier=1 idempotent=yes #",
			line: 1,
			want: "comment",
		},
		{
			name: "unknown first field",
			text: "\nclass=a # x",
			line: 2,
			want: "class",
		},
		{
			name: "unknown field",
			text: "rule=a class=a tier=1 idempotent=yes speed=9 # x",
			line: 1,
			want: "speed",
		},
		{
			name: "tier out of range",
			text: "rule=a class=a tier=16 idempotent=yes # x",
			line: 1,
			want: "tier",
		},
		{
			name: "missing idempotent",
			text: "rule=a class=a tier=1 # x",
			line: 1,
			want: "idempotent",
		},
		{
			name: "duration without a unit",
			text: "rule=a class=a tier=1 idempotent=yes first-token=760 # x",
			line: 1,
			want: "first-token",
		},
		{
			name: "duplicate field",
			text: "rule=a class=a class=b tier=1 idempotent=yes # x",
			line: 1,
			want: "class",
		},
		{
			name: "duplicate rule",
			text: "rule=a class=a tier=1 idempotent=yes # x\nrule=a class=a tier=1 idempotent=yes # x",
			line: 2,
			want: "rule",
		},
		{
			name: "class with different tiers",
			text: "rule=a class=a tier=1 idempotent=yes # x\nrule=b class=a tier=2 idempotent=yes # x",
			line: 2,
			want: "class",
		},
		{
			name: "short token hash",
			text: "team=mill token-sha256=abc # x",
			line: 1,
			want: "token-sha256",
		},
		{
			name: "token of another team",
			text: "team=mill token-sha256=" + hashA + " # x\nteam=advice token-sha256=" + hashA + " # x",
			line: 2,
			want: "token-sha256",
		},
		{
			name: "share above 0.5",
			text: "setting=trickle-share value=0.6 # x",
			line: 1,
			want: "value",
		},
		{
			name: "not a number",
			text: "setting=trickle-share value=NaN # x",
			line: 1,
			want: "value",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(c.text)
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Line, c.line)
			is.Equal(problems[0].Field, c.want)
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := Parse("rule=a tier=99\nteam=B\n")
	is.True(strings.Count(err.Error(), "\n") >= 4)
}

func TestFirstMatchingRuleWins(t *testing.T) {
	is := is.New(t)
	file, err := Parse(`team=mill token-sha256=` + hashA + ` requests-per-second=5 # line
rule=orders team=mill,planning service=orders method=POST path-prefix=/orders class=cut-order tier=0 idempotent=no # line
rule=everyone service=orders class=stock tier=2 first-token=1s idempotent=yes # planning
rule=mill-chat team=mill service=chat model=planner class=changeover tier=1 first-token=760ms between-tokens=35ms idempotent=yes # line
`)
	is.NoErr(err)
	class := func(q Request) string {
		r, ok := file.Match(q)
		if !ok {
			return ""
		}
		return r.Class()
	}
	is.Equal(class(Request{
		Team:    "mill",
		Service: "orders",
		Method:  "POST",
		Path:    "/orders",
	}), "cut-order")
	is.Equal(class(Request{
		Team:    "mill",
		Service: "orders",
		Method:  "GET",
		Path:    "/stock",
	}), "stock")
	is.Equal(class(Request{
		Team:    "stranger",
		Service: "orders",
		Method:  "POST",
		Path:    "/orders",
	}), "stock")
	is.Equal(class(Request{
		Team:    "mill",
		Service: "chat",
		Model:   "other",
	}), "")
	r, _ := file.Match(Request{
		Team:    "mill",
		Service: "chat",
		Model:   "planner",
	})
	is.Equal(r.FirstTokenTarget(), 760*time.Millisecond)
	is.Equal(r.InterTokenTarget(), 35*time.Millisecond)
	is.Equal(r.Deadline(), DefaultDeadline)
}

func TestTeamIsFoundByTokenOnly(t *testing.T) {
	is := is.New(t)
	file, err := Parse("team=mill token-sha256=" + HashToken("secret") + " # line\n")
	is.NoErr(err)
	team, ok := file.TeamByToken("secret")
	is.True(ok)
	is.Equal(team.Name(), "mill")
	_, ok = file.TeamByToken(HashToken("secret")) // the hash is not accepted as a token
	is.True(!ok)
}

func FuzzParse(f *testing.F) {
	f.Add("rule=a class=a tier=1 idempotent=yes # x\n")
	f.Add("team=mill token-sha256=" + hashA + " # x\n")
	f.Add("setting=trickle-share value=0.1 # x\npool=engines fencing=checked # y")
	f.Add("= # \x00")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse(text)
		if err != nil {
			return
		}
		normalized, err := Parse(Normalize(file.Text()))
		if err != nil {
			t.Fatalf("valid file is invalid after Normalize: %v", err)
		}
		if len(normalized.Rules()) != len(file.Rules()) || normalized.TeamCount() != file.TeamCount() {
			t.Fatal("Normalize changed the number of rules or teams")
		}
	})
}
