package experiment

import (
	"bytes"
	"errors"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"lagoongw/internal/model/engine"
	"lagoongw/internal/model/site"
)

// duration is a duration in an experiment file, such as 250ms.
type duration time.Duration

// UnmarshalText parses a duration in the syntax of time.ParseDuration.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// file is the content of an experiment file. Its fields are named after the keys; method spec shows the matching fields
// of site.Spec.
type file struct {
	Name           string        `toml:"name"`
	Length         duration      `toml:"length"`
	Nodes          int           `toml:"nodes"`
	Regions        int           `toml:"regions"`
	Engines        int           `toml:"engines"`
	Slots          int           `toml:"slots"`
	Memory         int           `toml:"memory-tokens"`
	Make           *engineMake   `toml:"engine"`
	Services       int           `toml:"services"`
	ServiceSlots   int           `toml:"service-slots"`
	BetweenRegions duration      `toml:"between-regions"`
	WithinRegion   duration      `toml:"within-region"`
	LinkMegabits   float64       `toml:"link-megabits"`
	TellEvery      duration      `toml:"tell-every"`
	ListAfter      duration      `toml:"list-after"`
	TellTo         int           `toml:"tell-to"`
	Zones          int           `toml:"zones"`
	Classes        []class       `toml:"class"`
	Disturbances   []disturbance `toml:"disturbance"`
}

// engineMake is the speed of the engines, instead of the published one.
type engineMake struct {
	Step                  duration `toml:"step"`
	StepPerRequest        duration `toml:"step-per-request"`
	StepPerThousandTokens duration `toml:"step-per-thousand-tokens"`
	PrefillPerMillisecond float64  `toml:"prefill-tokens-per-ms"`
	Chunk                 int      `toml:"chunk-tokens"`
	PrefillPerPairs       duration `toml:"prefill-per-million-pairs"`
	PrefillDelay          duration `toml:"prefill-delay"`
	PrefillSetup          duration `toml:"prefill-setup"`
}

func (f file) engineSpec() engine.Spec {
	if f.Make == nil {
		return engine.PublishedSpec(f.Slots, f.Memory)
	}
	return engine.Spec{
		Slots:                       f.Slots,
		MemoryTokens:                f.Memory,
		StepBaseTime:                time.Duration(f.Make.Step),
		StepTimePerRequest:          time.Duration(f.Make.StepPerRequest),
		StepTimePerThousandTokens:   time.Duration(f.Make.StepPerThousandTokens),
		PrefillTokensPerMillisecond: f.Make.PrefillPerMillisecond,
		ChunkTokens:                 f.Make.Chunk,
		PrefillTimePerMillionPairs:  time.Duration(f.Make.PrefillPerPairs),
		PrefillDelay:                time.Duration(f.Make.PrefillDelay),
		PrefillSetupTime:            time.Duration(f.Make.PrefillSetup),
	}
}

type class struct {
	Name        string   `toml:"name"`
	Tier        int      `toml:"tier"`
	PerSecond   float64  `toml:"per-second"`
	Parts       int      `toml:"parts"`
	Shared      int      `toml:"shared-tokens"`
	Own         int      `toml:"own-tokens"`
	Output      int      `toml:"output-tokens"`
	EventTokens int      `toml:"event-tokens"`
	Work        duration `toml:"work"`
	Within      duration `toml:"within"`
	Gap         duration `toml:"gap"`
	Deadline    duration `toml:"deadline"`
	Worth       float64  `toml:"worth"`
	WorthLate   float64  `toml:"worth-late"`
	MaxAttempts int      `toml:"max-attempts"`
	Retries     int      `toml:"retries"`
}

type disturbance struct {
	Kind   string   `toml:"kind"`
	Class  string   `toml:"class"`
	From   duration `toml:"from"`
	For    duration `toml:"for"`
	Factor float64  `toml:"factor"`
	Count  int      `toml:"count"`
	Skip   int      `toml:"skip"`
}

// Parse parses an experiment file in TOML and returns the name of the experiment and the installation. Unknown fields
// are errors, which show the lines of the fields, and so are settings that site.Spec.Check rejects.
func Parse(data []byte) (name string, spec site.Spec, err error) {
	var f file
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return "", site.Spec{}, eris.Errorf("unknown fields:\n%s", strict.String())
		}
		return "", site.Spec{}, eris.Wrap(err, "read experiment")
	}
	spec = f.spec()
	return f.Name, spec, spec.Check()
}

func (f file) spec() site.Spec {
	spec := site.Spec{
		Duration:              time.Duration(f.Length),
		Nodes:                 f.Nodes,
		Regions:               f.Regions,
		Engines:               f.Engines,
		Engine:                f.engineSpec(),
		Services:              f.Services,
		ServiceSlots:          f.ServiceSlots,
		InterRegionDelay:      time.Duration(f.BetweenRegions),
		IntraRegionDelay:      time.Duration(f.WithinRegion),
		LinkMegabitsPerSecond: f.LinkMegabits,
		AdvertiseInterval:     time.Duration(f.TellEvery),
		TableUpdateDelay:      time.Duration(f.ListAfter),
		AdvertiseFanout:       f.TellTo,
		Zones:                 f.Zones,
	}
	for _, c := range f.Classes {
		spec.Classes = append(spec.Classes, site.Class{
			Name:              c.Name,
			Tier:              c.Tier,
			RequestsPerSecond: c.PerSecond,
			SharedParts:       c.Parts,
			SharedTokens:      c.Shared,
			OwnTokens:         c.Own,
			OutputTokens:      c.Output,
			EventTokens:       c.EventTokens,
			ServiceTime:       time.Duration(c.Work),
			TargetLatency:     time.Duration(c.Within),
			TargetGap:         time.Duration(c.Gap),
			Deadline:          time.Duration(c.Deadline),
			Worth:             c.Worth,
			WorthLate:         c.WorthLate,
			MaxAttempts:       c.MaxAttempts,
			Retries:           c.Retries,
		})
	}
	for _, d := range f.Disturbances {
		spec.Disturbances = append(spec.Disturbances, site.Disturbance{
			Kind:     d.Kind,
			Class:    d.Class,
			Start:    time.Duration(d.From),
			Duration: time.Duration(d.For),
			Factor:   d.Factor,
			Count:    d.Count,
			Skip:     d.Skip,
		})
	}
	return spec
}
