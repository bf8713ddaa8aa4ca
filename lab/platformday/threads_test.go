package platformday

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The states of a process that runs name its threads; a process that has ended has none.
func TestThreadStates(t *testing.T) {
	is := is.New(t)
	states := threadStates(os.Getpid())
	is.True(strings.Contains(states, "running") || strings.Contains(states, "sleeping"))
	is.Equal(threadStates(-1), "")
}
