package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `
cluster: villasenor
node:
  region: occidente
  zone: gdl-centro
  internal_address: 127.0.0.1:7400
  api_address: 127.0.0.1:8000
  admin_address: 127.0.0.1:9000
platform:
  key_value: http://127.0.0.1:2379
  machines: http://127.0.0.1:2380/machines
  runners: http://127.0.0.1:2380/runners
`

func TestDefaultsAreApplied(t *testing.T) {
	is := is.New(t)
	loaded, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(loaded.Node.ID, "127.0.0.1:7400")
	is.Equal(loaded.Data.Shards, DefaultShards)
	is.Equal(loaded.Limits.StopTimeout.Duration, time.Minute)
}

func TestInvalidSettingsErrorNamesFieldAndAllowedValues(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "cluster:", "clutser:", `unknown field "clutser"`},
		{"host name", "127.0.0.1:7400", "node7:7400", `line 6: node.internal_address: found "node7:7400", allowed: an IP address and a port`},
		{"bad URL", "http://127.0.0.1:2379", "127.0.0.1", `line 10: platform.key_value: found "127.0.0.1", allowed: a URL`},
		{"missing zone", "  zone: gdl-centro\n", "", `node.zone: found "", allowed: 1 to 63 letters`},
		{"bad duration", "platform:\n", "platform:\n  list_interval: soon\n", "not a duration"},
		{"bad number", "platform:\n", "data: {shards: -1}\nplatform:\n", `data.shards: found "-1", allowed: 1 to 4096`},
		{"half a key pair", "platform:\n", "tls: {api: {key: k.pem}}\nplatform:\n", "both certificate and key, or neither"},
		{"no authority", "platform:\n", "tls: {nodes: {key: k.pem, certificate: c.pem}}\nplatform:\n", "tls.nodes_authority"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want it to contain %q", err, c.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("cluster: [1"))
	f.Add([]byte("node: 3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		loaded, err := Parse(text)
		if err == nil && loaded.Validate() != nil {
			t.Fatal("Parse returned invalid settings")
		}
	})
}
