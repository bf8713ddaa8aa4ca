// Command cobaltramp-lab-storage runs a storage node as cobaltramp does, on a disk that loses what
// was not synced when the process is killed. The soak uses it; it is not part of the product.
package main

import (
	"os"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cobaltramp.example/cobaltramp/internal/app/cli"
	_ "cobaltramp.example/cobaltramp/internal/app/hangup" // before the settings are read, SIGHUP has no effect
	"cobaltramp.example/cobaltramp/lab/unsynced"
	_ "cobaltramp.example/cobaltramp/modules/standard" // registers the modules
)

// syncTime is the time of a sync of the slow disks in the users' deployments.
const syncTime = 5 * time.Millisecond

func main() {
	vfs.Default = unsynced.FS{FS: vfs.Default, SyncTime: syncTime}
	os.Exit(cli.Main(os.Args[1:]))
}
