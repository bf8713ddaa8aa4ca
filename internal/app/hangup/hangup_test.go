package hangup

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A node that gets SIGHUP before it has read its settings must not end by it: the platform may change
// them at any time. The test holds the node there with a settings file that is a pipe.
func TestHangupBeforeSettingsAreReadDoesNotEndTheNode(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	program, pipe := filepath.Join(folder, "cobaltramp"), filepath.Join(folder, "settings.yaml")
	output, err := exec.Command("go", "build", "-o", program, "../../../cmd/cobaltramp").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	node := exec.Command(program, "edge", "--settings", pipe)
	is.NoErr(node.Start())
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // waits until the node reads
	is.NoErr(err)
	is.NoErr(node.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("no settings")
	is.NoErr(err)
	is.NoErr(settings.Close())
	_ = node.Wait() // fails, since the settings are invalid
	is.True(node.ProcessState.Exited())
}

// Commands other than daemons end when their terminal does.
func TestOnlyDaemonsIgnoreHangup(t *testing.T) {
	is := is.New(t)
	is.True(isDaemon([]string{"cobaltramp", "edge", "--settings", "f"}))
	is.True(isDaemon([]string{"cobaltramp", "-o", "json", "node"}))
	is.True(!isDaemon([]string{"cobaltramp", "job", "submit"}))
	is.True(!isDaemon([]string{"cobaltramp"}))
}
