package main

import (
	_ "embed"
	"encoding/json"
	"strings"
	"text/template"
)

// The platform's names and formats are kept in files, since the code of the project has them in one folder alone.
var (
	//go:embed names.json
	namesFile []byte
	//go:embed settings.tmpl
	settingsFile string
	//go:embed manifest.json
	manifest string
	//go:embed entry.tmpl
	entryFile string

	names            = readNames()
	settingsTemplate = template.Must(template.New("settings").Parse(settingsFile))
	entryTemplate    = template.Must(template.New("entry").Parse(strings.TrimSpace(entryFile)))
)

// Values that the manifest holds.
const (
	host         = "blanks.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	poolEngines  = "assistant-models"
	poolOrders   = "orders-desk"
	pathQuote    = "/quote/"
	pathBooking  = "/booking/"
	pathStatus   = "/status/"
	quoteLimit   = 15000
	bookingLimit = 3000
)

func readNames() map[string]string {
	var read map[string]string
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}

// fill returns a template with its values.
func fill(t *template.Template, values any) string {
	var text strings.Builder
	if err := t.Execute(&text, values); err != nil {
		panic(err)
	}
	return text.String()
}
