package standin

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
)

// A store with the fault Silent must end the handler of a call whose client has
// disconnected, also if the call has a body; otherwise Close would block.
func TestUnresponsiveStoreCloses(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	store.SetFault(StoreFault{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.Address()+"/-/kv-txn", strings.NewReader("{}"))
	is.NoErr(err)
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request) //nolint:bodyclose // there is never an answer
		done <- err
	}()
	eventually.Require(t, "the store has the call", func() bool { return store.Calls("txn") > 0 }, func() any { return store.Calls("txn") })
	cancel()
	is.True(<-done != nil)
	store.Close()
}
