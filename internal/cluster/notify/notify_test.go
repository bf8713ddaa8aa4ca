package notify

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Reports that arrive within the delay are flushed together, one delay after the first.
func TestReportsAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		started := time.Now()
		var flushed []time.Duration
		batcher := NewBatcher(Schedule{Delay: 60 * time.Millisecond, Flush: func(context.Context) { flushed = append(flushed, time.Since(started)) }})
		go batcher.Run(ctx)
		time.Sleep(time.Second) // no report is pending
		synctest.Wait()
		is.Equal(len(flushed), 0)
		for range 5 {
			batcher.Trigger()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(flushed[0], time.Second+60*time.Millisecond)
		// A report that arrived during the delay causes one more flush.
		is.Equal(flushed[1:], []time.Duration{time.Second + 120*time.Millisecond})
	})
}

// A report that arrives during a flush causes another flush.
func TestReportDuringFlushIsFlushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		flushes := 0
		var batcher *Batcher
		batcher = NewBatcher(Schedule{Flush: func(context.Context) {
			if flushes++; flushes == 1 {
				batcher.Trigger()
			}
		}})
		go batcher.Run(ctx)
		batcher.Trigger()
		synctest.Wait()
		is.Equal(flushes, 2)
	})
}

// Repeat is called at its interval whether or not reports are pending, until the context
// ends.
func TestRepeatIsCalledAtInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		repeats := 0
		batcher := NewBatcher(Schedule{
			Flush:          func(context.Context) { t.Error("nothing is pending") },
			RepeatInterval: time.Second, Repeat: func(time.Time) { repeats++ },
		})
		go batcher.Run(ctx)
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		is.Equal(repeats, 3)
		cancel()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(repeats, 3)
	})
}

// The batcher ends without a flush if the context ends during the delay.
func TestContextEndsDuringDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		ended := false
		batcher := NewBatcher(Schedule{Delay: time.Minute, Flush: func(context.Context) { t.Error("flushed after the context ended") }})
		go func() { batcher.Run(ctx); ended = true }()
		batcher.Trigger()
		synctest.Wait()
		cancel()
		synctest.Wait()
		is.True(ended)
	})
}
