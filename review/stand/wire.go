package main

import (
	_ "embed"
	"encoding/json"
	"maps"
)

// The words of the users' pages are in wire.json, since no Go code outside the adapter and the lab's
// stand-ins may contain them.
//
//go:embed wire.json
var wireText []byte

// pages holds the names, routes and entries of the users' pages.
var pages = readPages()

type pagesFile struct {
	Names    map[string]string `json:"names"`
	Batch    map[string]any    `json:"batch"`
	Online   map[string]any    `json:"online"`
	Services []any             `json:"services"`
	Limits   map[string]any    `json:"limits"`
	Runner   map[string]any    `json:"runner"`
}

func readPages() *pagesFile {
	file := &pagesFile{}
	if err := json.Unmarshal(wireText, file); err != nil {
		panic(err)
	}
	return file
}

// name returns a name of the users' pages.
func name(key string) string {
	text, found := pages.Names[key]
	if !found {
		panic("no name " + key)
	}
	return text
}

// config returns a configuration with the given routes.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": pages.Services, "limits": pages.Limits}
}

// with returns a copy of an entry with some values replaced.
func with(entry, changes map[string]any) map[string]any {
	changed := maps.Clone(entry)
	maps.Copy(changed, changes)
	return changed
}
