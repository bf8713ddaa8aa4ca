package pause

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestForReturnsAfterIntervalOrCancellation(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	For(context.Background(), 5*time.Millisecond)
	is.True(time.Since(began) >= 5*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	For(ctx, time.Hour) // returns at once
}
