package site

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/model/engine"
)

// The callers of a site with nine engines: long dossiers, digests, short questions and plain orders.
var (
	dossier = Class{
		Name:        "dossier",
		Tier:        2,
		PerSecond:   9.4,
		Parts:       99,
		Shared:      13300,
		Own:         3720,
		Output:      120,
		EventTokens: 2,
		Within:      2500 * time.Millisecond,
		Gap:         500 * time.Millisecond,
		Deadline:    15 * time.Second,
		Worth:       1.2,
		WorthLate:   0.36,
		MaxAttempts: 2,
		Retries:     1,
	}
	digest = Class{
		Name:        "digest",
		Tier:        1,
		PerSecond:   7.6,
		Parts:       80,
		Shared:      6300,
		Own:         2890,
		Output:      52,
		EventTokens: 2,
		Within:      2 * time.Second,
		Gap:         200 * time.Millisecond,
		Deadline:    8 * time.Second,
		Worth:       1.9,
		WorthLate:   0.57,
		MaxAttempts: 2,
		Retries:     1,
	}
	question = Class{
		Name:        "question",
		PerSecond:   10.1,
		Parts:       71,
		Shared:      350,
		Own:         1110,
		Output:      172,
		EventTokens: 2,
		Within:      1500 * time.Millisecond,
		Gap:         120 * time.Millisecond,
		Deadline:    15 * time.Second,
		Worth:       2.7,
		WorthLate:   0.25,
		MaxAttempts: 2,
		Retries:     1,
	}
	order = Class{
		Name:      "order",
		PerSecond: 6.8,
		Work:      15 * time.Millisecond,
		Within:    200 * time.Millisecond,
		Deadline:  3 * time.Second,
		Worth:     1,
		WorthLate: 0.3,
	}
)

func specOf(disturbances ...Disturbance) Spec {
	return Spec{
		Length:         30 * time.Second,
		Nodes:          8,
		Regions:        2,
		Engines:        9,
		Engine:         engine.PublishedSpec(64, 629_377),
		Services:       3,
		ServiceSlots:   6,
		BetweenRegions: 30 * time.Millisecond,
		WithinRegion:   time.Millisecond,
		LinkMegabits:   30,
		TellEvery:      250 * time.Millisecond,
		ListAfter:      1500 * time.Millisecond,
		Classes:        []Class{dossier, digest, question, order},
		Disturbances:   disturbances,
	}
}

func policyOf(t *testing.T, name string) Policy {
	t.Helper()
	policy, known := PolicyByName(name)
	if !known {
		t.Fatalf("no policy %q", name)
	}
	return policy
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	is := is.New(t)
	spec := specOf(Disturbance{
		Kind:  Crash,
		From:  10 * time.Second,
		For:   10 * time.Second,
		Count: 2,
	})
	for _, policy := range Policies() {
		is.Equal(Run(spec, policy, 3), Run(spec, policy, 3))
	}
	own := policyOf(t, "lagoongw")
	is.True(Run(spec, own, 3).Read != Run(spec, own, 4).Read)
}

// TestEveryRequestHasOneEnd asks for more than the site can do, so that callers are refused and give up.
func TestEveryRequestHasOneEnd(t *testing.T) {
	is := is.New(t)
	spec := specOf(Disturbance{
		Kind:   Burst,
		Class:  "dossier",
		From:   2 * time.Second,
		For:    20 * time.Second,
		Factor: 12,
	})
	result := Run(spec, policyOf(t, "early-refusal"), 1)
	for _, c := range result.Classes {
		is.True(c.Asked > 0)
		is.True(c.Served <= c.Asked && c.InTime <= c.Served)
		is.True(c.Worth <= c.Owed)
	}
	is.True(result.Classes[0].Served < result.Classes[0].Asked)
	is.True(result.Classes[0].Refused > 0)
	is.True(result.Classes[0].ReturnedServed <= result.Classes[0].Returned)
}

func TestStreamsOfACrashedEngineGoOnElsewhere(t *testing.T) {
	is := is.New(t)
	result := Run(specOf(Disturbance{
		Kind:  Crash,
		From:  10 * time.Second,
		For:   5 * time.Second,
		Count: 3,
	}), policyOf(t, "lagoongw"), 1)
	for _, c := range result.Classes {
		is.Equal(c.Served, c.Asked)
	}
}

func TestWrongDescriptionsAreNamed(t *testing.T) {
	is := is.New(t)
	is.NoErr(specOf().Check())
	for _, wrong := range []Disturbance{
		{Kind: "rain"},
		{
			Kind:   Burst,
			Class:  "nobody",
			Factor: 2,
		},
		{
			Kind:  Crash,
			Count: 10,
		},
		{
			Kind:  Slow,
			Count: 1,
		},
	} {
		is.True(specOf(wrong).Check() != nil)
	}
	none := specOf()
	none.Services = 0
	is.True(none.Check() != nil)
}
