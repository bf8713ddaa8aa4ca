package queuestore

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Callers that join before a round begins share the round; later callers get a new one.
func TestConfirmationIsSharedByEarlierCallersOnly(t *testing.T) {
	is := is.New(t)
	var r confirmations
	var mutex sync.Mutex
	runs := 0
	release := make(chan struct{})
	began := make(chan struct{}, 2)
	run := func(round *confirmation) {
		mutex.Lock()
		runs++
		mutex.Unlock()
		began <- struct{}{}
		<-release
		close(round.done)
	}
	first := r.join(run)
	is.Equal(r.join(run), first)
	<-began
	second := r.join(run)
	is.True(second != first)
	close(release)
	<-first.done
	<-second.done
	is.Equal(runs, 2)
}
