package main

import (
	_ "embed"
	"encoding/json"
)

// The words of the users' pages are in wire.json, since no Go code outside the adapter and the lab's
// stand-ins may contain them.
//
//go:embed wire.json
var wireText []byte

// words are the words of the users' pages by short names.
var words = readWords()

func readWords() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(wireText, &read); err != nil {
		panic(err)
	}
	return read
}
