package jsonl

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

func testRules() Rules {
	return Rules{
		Model: func(name string) (string, error) {
			if name == "m" {
				return "m", nil
			}
			return "", fmt.Errorf("body.model is %q, which does not exist", name)
		},
		DefaultClass: wirev1.WorkClass_WORK_CLASS_REPEATABLE,
	}
}

func inputLine(id string) string {
	return fmt.Sprintf(`{"custom_id":"%s","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"p"}}`, id)
}

// Checks, for random numbers of lines and line ends, that each item is returned once and
// in order, and that no segment has too many items.
func TestSegmentsContainAllItemsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 2500).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\n\n"}).Draw(t, "end")
		var text strings.Builder
		for i := range count {
			text.WriteString(inputLine(fmt.Sprint("id-", i)))
			if i < count-1 || rapid.Bool().Draw(t, "last end") {
				text.WriteString(end)
			}
		}
		reader := NewReader(strings.NewReader(text.String()), testRules())
		seen := 0
		for {
			segment, err := reader.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("next: %v", err)
			}
			if len(segment.Items) > SegmentItems {
				t.Fatalf("segment has %d items", len(segment.Items))
			}
			for _, item := range segment.Items {
				if item.CustomId != fmt.Sprint("id-", seen) {
					t.Fatalf("item %d has custom id %s", seen, item.CustomId)
				}
				seen++
			}
		}
		if seen != count || reader.Items() != uint64(count) {
			t.Fatalf("read %d of %d items", seen, count)
		}
	})
}

func TestWorkClassOfALineOverridesTheDefault(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(inputLine("a"), `"method"`, `"work_class":"once","method"`, 1)
	segment, err := NewReader(strings.NewReader(text), testRules()).Next()
	is.NoErr(err)
	is.Equal(segment.Items[0].WorkClass, wirev1.WorkClass_WORK_CLASS_ONCE)
}

func TestTooLongLineIsRejected(t *testing.T) {
	is := is.New(t)
	text := inputLine("a") + "\n" + strings.Repeat("x", MaxLineBytes+10)
	_, err := NewReader(strings.NewReader(text), testRules()).Next()
	var lineError *LineError
	is.True(errors.As(err, &lineError))
	is.Equal(lineError.Line, 2)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(inputLine("a") + "\n" + inputLine("b")))
	f.Add([]byte("{\n\n}"))
	f.Add([]byte(`{"custom_id":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := NewReader(bytes.NewReader(text), testRules())
		for {
			segment, err := reader.Next()
			if err != nil {
				return
			}
			for _, item := range segment.Items {
				if item.CustomId == "" || item.Model != "m" {
					t.Fatalf("invalid item was accepted: %v", item)
				}
			}
		}
	})
}

func BenchmarkNext(b *testing.B) {
	var text strings.Builder
	for i := range 1000 {
		text.WriteString(inputLine(fmt.Sprint("id-", i)) + "\n")
	}
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		reader := NewReader(strings.NewReader(text.String()), testRules())
		if _, err := reader.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
