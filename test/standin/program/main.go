package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"lagoongw/test/standin"
)

// settings are the command-line flags. Each kind of stand-in uses those that apply to it.
type settings struct {
	Kind              string        `long:"kind" choice:"platform" choice:"engine" choice:"service" required:"yes"`
	Listen            string        `long:"listen" required:"yes"`
	Name              string        `long:"name"`
	Slots             int           `long:"slots" default:"8"`
	TokenTime         time.Duration `long:"token-time" default:"5ms"`
	PrefillTime       time.Duration `long:"prefill-time" default:"20ms"`
	ReportLag         time.Duration `long:"report-lag" default:"1s"`
	CheckFencing      bool          `long:"check-fencing"`
	Models            []string      `long:"model"`
	Retention         time.Duration `long:"retention" default:"4h"`
	AppendRate        float64       `long:"append-rate" default:"300"`
	ListLag           time.Duration `long:"list-lag" default:"1s"`
	MinWeightInterval time.Duration `long:"weight-every" default:"5s"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		os.Exit(2)
	}
	server := &http.Server{
		Addr:              s.Listen,
		Handler:           handler(s),
		ReadHeaderTimeout: 5 * time.Second,
	}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// handler returns the HTTP handler of a stand-in of the kind in the settings.
func handler(s settings) http.Handler {
	switch s.Kind {
	case "platform":
		p := &standin.Platform{
			Retention:         s.Retention,
			AppendsPerSecond:  s.AppendRate,
			ListLag:           s.ListLag,
			MinWeightInterval: s.MinWeightInterval,
		}
		return p.Handler()
	case "engine":
		e := &standin.Engine{
			Name:         s.Name,
			Slots:        s.Slots,
			TokenTime:    s.TokenTime,
			PrefillTime:  s.PrefillTime,
			ReportLag:    s.ReportLag,
			CheckFencing: s.CheckFencing,
			Models:       s.Models,
		}
		return e.Handler()
	}
	return (&standin.Service{Slots: s.Slots}).Handler()
}
