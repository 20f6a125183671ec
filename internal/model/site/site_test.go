package site

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/model/engine"
)

// The classes of a site with nine engines: long dossiers, digests, short questions, and orders to a plain service.
var (
	dossier = Class{
		Name:              "dossier",
		Tier:              2,
		RequestsPerSecond: 9.4,
		SharedParts:       99,
		SharedTokens:      13300,
		OwnTokens:         3720,
		OutputTokens:      120,
		EventTokens:       2,
		TargetLatency:     2500 * time.Millisecond,
		TargetGap:         500 * time.Millisecond,
		Deadline:          15 * time.Second,
		Worth:             1.2,
		WorthLate:         0.36,
		MaxAttempts:       2,
		Retries:           1,
	}
	digest = Class{
		Name:              "digest",
		Tier:              1,
		RequestsPerSecond: 7.6,
		SharedParts:       80,
		SharedTokens:      6300,
		OwnTokens:         2890,
		OutputTokens:      52,
		EventTokens:       2,
		TargetLatency:     2 * time.Second,
		TargetGap:         200 * time.Millisecond,
		Deadline:          8 * time.Second,
		Worth:             1.9,
		WorthLate:         0.57,
		MaxAttempts:       2,
		Retries:           1,
	}
	question = Class{
		Name:              "question",
		RequestsPerSecond: 10.1,
		SharedParts:       71,
		SharedTokens:      350,
		OwnTokens:         1110,
		OutputTokens:      172,
		EventTokens:       2,
		TargetLatency:     1500 * time.Millisecond,
		TargetGap:         120 * time.Millisecond,
		Deadline:          15 * time.Second,
		Worth:             2.7,
		WorthLate:         0.25,
		MaxAttempts:       2,
		Retries:           1,
	}
	order = Class{
		Name:              "order",
		RequestsPerSecond: 6.8,
		ServiceTime:       15 * time.Millisecond,
		TargetLatency:     200 * time.Millisecond,
		Deadline:          3 * time.Second,
		Worth:             1,
		WorthLate:         0.3,
	}
)

func newSpec(disturbances ...Disturbance) Spec {
	return Spec{
		Duration:              30 * time.Second,
		Nodes:                 8,
		Regions:               2,
		Engines:               9,
		Engine:                engine.PublishedSpec(64, 629_377),
		Services:              3,
		ServiceSlots:          6,
		InterRegionDelay:      30 * time.Millisecond,
		IntraRegionDelay:      time.Millisecond,
		LinkMegabitsPerSecond: 30,
		AdvertiseInterval:     250 * time.Millisecond,
		TableUpdateDelay:      1500 * time.Millisecond,
		Classes:               []Class{dossier, digest, question, order},
		Disturbances:          disturbances,
	}
}

func policyByName(t *testing.T, name string) Policy {
	t.Helper()
	policy, known := PolicyByName(name)
	if !known {
		t.Fatalf("no policy %q", name)
	}
	return policy
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	is := is.New(t)
	spec := newSpec(Disturbance{
		Kind:     Crash,
		Start:    10 * time.Second,
		Duration: 10 * time.Second,
		Count:    2,
	})
	for _, policy := range Policies() {
		is.Equal(Run(spec, policy, 3), Run(spec, policy, 3))
	}
	lagoongw := policyByName(t, "lagoongw")
	is.True(Run(spec, lagoongw, 3).PrefilledTokens != Run(spec, lagoongw, 4).PrefilledTokens)
}

// TestOverloadCountsAreConsistent overloads the site, so that requests are refused or reach their deadline.
func TestOverloadCountsAreConsistent(t *testing.T) {
	is := is.New(t)
	spec := newSpec(Disturbance{
		Kind:     Burst,
		Class:    "dossier",
		Start:    2 * time.Second,
		Duration: 20 * time.Second,
		Factor:   12,
	})
	result := Run(spec, policyByName(t, "early-refusal"), 1)
	for _, c := range result.Classes {
		is.True(c.Requests > 0)
		is.True(c.Served <= c.Requests && c.InTime <= c.Served)
		is.True(c.Worth <= c.MaxWorth)
	}
	is.True(result.Classes[0].Served < result.Classes[0].Requests)
	is.True(result.Classes[0].Refused > 0)
	is.True(result.Classes[0].RetriedServed <= result.Classes[0].Retried)
}

func TestStreamsResumeAfterEngineCrash(t *testing.T) {
	is := is.New(t)
	result := Run(newSpec(Disturbance{
		Kind:     Crash,
		Start:    10 * time.Second,
		Duration: 5 * time.Second,
		Count:    3,
	}), policyByName(t, "lagoongw"), 1)
	for _, c := range result.Classes {
		is.Equal(c.Served, c.Requests)
	}
}

func TestCheckRejectsInvalidSpecs(t *testing.T) {
	is := is.New(t)
	is.NoErr(newSpec().Check())
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
		is.True(newSpec(wrong).Check() != nil)
	}
	noServices := newSpec()
	noServices.Services = 0
	is.True(noServices.Check() != nil)
}
