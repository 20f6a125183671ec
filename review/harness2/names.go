package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

//go:embed manifest.json
var manifestJSON string

//go:embed settings.tmpl
var settingsTemplate string

// names are the platform's header and topic names, which Go files outside the adapter do not spell out.
var names = readNames()

func readNames() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(namesJSON, &read); err != nil {
		panic(err)
	}
	return read
}

// manifestKey is the key of the manifest in the operator's topic.
const manifestKey = "config"
