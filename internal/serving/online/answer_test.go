package online

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/membudget"
)

// TestBeginningIsAsLongAsThereIsMemory guards against responses that occupy the memory of a node together: a
// long response is relayed earlier when others hold the memory, and loses no bytes.
func TestBeginningIsAsLongAsThereIsMemory(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 32<<10) // 512 KiB
	for _, test := range []struct {
		name             string
		length, budget   int
		minRead, maxRead int
		whole            bool
	}{
		{name: "short", length: 5000, minRead: 5000, maxRead: 5000, whole: true},
		{name: "long, with memory", length: len(text), budget: 1 << 20, minRead: maxBufferedBytes, maxRead: maxBufferedBytes},
		{name: "long, without memory", length: len(text), minRead: firstBufferBytes, maxRead: membudget.FreeBytes},
		{name: "empty", whole: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			memory := membudget.New(int64(test.budget)).Reserve()
			defer memory.Release()
			body := iotest.HalfReader(strings.NewReader(text[:test.length]))
			begun, err := readBeginning(body, memory)
			is.NoErr(err)
			is.Equal(begun.whole, test.whole)
			is.True(len(begun.body) >= test.minRead && len(begun.body) <= test.maxRead)
			rest, err := io.ReadAll(body)
			is.NoErr(err)
			is.Equal(string(begun.body)+string(rest), text[:test.length])
		})
	}
}
