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

// duration is a time in a file, such as 250ms.
type duration time.Duration

// UnmarshalText reads a time as time.ParseDuration does.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

type file struct {
	Name           string        `toml:"name"`
	Length         duration      `toml:"length"`
	Nodes          int           `toml:"nodes"`
	Regions        int           `toml:"regions"`
	Engines        int           `toml:"engines"`
	Slots          int           `toml:"slots"`
	Memory         int           `toml:"memory-tokens"`
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

// Parse reads an experiment file in TOML; the error names the line and field that is unknown or wrong.
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
		Length:         time.Duration(f.Length),
		Nodes:          f.Nodes,
		Regions:        f.Regions,
		Engines:        f.Engines,
		Engine:         engine.PublishedSpec(f.Slots, f.Memory),
		Services:       f.Services,
		ServiceSlots:   f.ServiceSlots,
		BetweenRegions: time.Duration(f.BetweenRegions),
		WithinRegion:   time.Duration(f.WithinRegion),
		LinkMegabits:   f.LinkMegabits,
		TellEvery:      time.Duration(f.TellEvery),
		ListAfter:      time.Duration(f.ListAfter),
		TellTo:         f.TellTo,
		Zones:          f.Zones,
	}
	for _, c := range f.Classes {
		spec.Classes = append(spec.Classes, site.Class{
			Name:        c.Name,
			Tier:        c.Tier,
			PerSecond:   c.PerSecond,
			Parts:       c.Parts,
			Shared:      c.Shared,
			Own:         c.Own,
			Output:      c.Output,
			EventTokens: c.EventTokens,
			Work:        time.Duration(c.Work),
			Within:      time.Duration(c.Within),
			Gap:         time.Duration(c.Gap),
			Deadline:    time.Duration(c.Deadline),
			Worth:       c.Worth,
			WorthLate:   c.WorthLate,
			MaxAttempts: c.MaxAttempts,
			Retries:     c.Retries,
		})
	}
	for _, d := range f.Disturbances {
		spec.Disturbances = append(spec.Disturbances, site.Disturbance{
			Kind:   d.Kind,
			Class:  d.Class,
			From:   time.Duration(d.From),
			For:    time.Duration(d.For),
			Factor: d.Factor,
			Count:  d.Count,
			Skip:   d.Skip,
		})
	}
	return spec
}
