package settings

import (
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validRole = `cluster: c
node: "n-1"
zone: "z"
region: "r"
address: "10.0.0.1"
ports: [7000, 7010]
listen:
  callers: "10.0.0.1:80"
  readiness: "10.0.0.1:81"
  peers: "10.0.0.1:82"
  metrics_port: 9464
seeds: ["10.0.0.2:82"]
first_start: true
disk_losses: 1
store:
  address: "10.0.0.9:90"
  value_bytes: 
bounds:
  stop_seconds: 8
`

func TestRoleSettingsAreParsed(t *testing.T) {
	is := is.New(t)
	role, err := ParseRole([]byte(validRole))
	is.NoErr(err)
	is.Equal(role.PeerAddress(), "10.0.0.1:7000")
	is.Equal(role.Store.ValueBytes, defaultStoreValueBytes) // a key without a value gets the default
}

// Guards against an error that spreads over several lines of the log.
func TestInvalidRoleSettingsGiveOneLineError(t *testing.T) {
	for name, change := range map[string][2]string{
		"unknown key":     {"zone:", "zome: \"x\"\nzone:"},
		"address":         {`"10.0.0.1"` + "\nports", `"host.example"` + "\nports"},
		"store address":   {"10.0.0.9:90", "nowhere"},
		"no ports":        {"[7000, 7010]", "[]"},
		"callers address": {"10.0.0.1:80", "x"},
		"node name":       {`"n-1"`, `"a b"`},
		"losses":          {"disk_losses: 1", "disk_losses: -1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validRole, change[0], change[1], 1)
			is.True(text != validRole)
			_, err := ParseRole([]byte(text))
			is.True(err != nil)
			is.True(!strings.Contains(err.Error(), "\n")) // one line
		})
	}
}

// Files that contain keys without effect must still load, and the keys must
// change no other field.
func TestUnusedKeysAreAccepted(t *testing.T) {
	for name, added := range map[string]struct {
		section, line string
		clear         func(*Role)
	}{
		"descriptors":         {"machine:\n", "  descriptors: 4096\n", func(r *Role) { r.Machine.Descriptors = 0 }},
		"reads_per_second":    {"store:\n", "  reads_per_second: 250.5\n", func(r *Role) { r.Store.ReadsPerSecond = 0 }},
		"writes_per_second":   {"store:\n", "  writes_per_second: 50\n", func(r *Role) { r.Store.WritesPerSecond = 0 }},
		"cancel_milliseconds": {"bounds:\n", "  cancel_milliseconds: 300\n", func(r *Role) { r.Bounds.CancelMilliseconds = 0 }},
		"settle_milliseconds": {"bounds:\n", "  settle_milliseconds: 200\n", func(r *Role) { r.Bounds.SettleMilliseconds = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			base := validRole + "machine:\n  memory_megabytes: 300\n"
			without, err := ParseRole([]byte(base))
			is.NoErr(err)
			text := strings.Replace(base, added.section, added.section+added.line, 1)
			is.True(text != base)
			with, err := ParseRole([]byte(text))
			is.NoErr(err)
			is.True(!reflect.DeepEqual(with, without)) // the value was read
			added.clear(with)
			is.Equal(with, without)
		})
	}
}
