package role

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

const settingsText = `cluster: c
node: "n-1"
zone: "z"
region: "r"
address: "10.0.0.1"
ports: [7000, 7010]
store:
  address: "10.0.0.9:90"
`

// A reload must not change the active settings, whether the file is valid, invalid or
// missing.
func TestReloadKeepsActiveSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte(settingsText), 0o600))
	loaded, err := settings.LoadRole(path)
	is.NoErr(err)
	before := *loaded
	for _, text := range []string{settingsText + "seeds: [\"10.0.0.2:82\"]\n", "zome: x", "", "\x00"} {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		reload(path, loaded)
		is.Equal(*loaded, before)
	}
	is.NoErr(os.Remove(path))
	reload(path, loaded)
	is.Equal(*loaded, before)
}
