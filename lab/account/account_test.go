package account

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/explain"
)

const report = `{"G": 0.75,
"parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.5]],
"prices": [["machine-seconds", 605.0, 0.02], ["probes", 0.0, 0.0]],
"classes": [{"name": "short", "n": 10, "in_aim": 7, "late": 2, "failed": 1, "not_owed": 0, "worth": 0.8}],
"windows": [{"name": "2", "n": 5, "late": 2, "failed": 1, "worth": 0.4}, {"name": "4", "n": 5, "worth": 1}],
"events": [{"at_s": 1.5, "to_s": 3, "kind": "runners slow"}, {"at_s": 9, "to_s": 10, "kind": "later"}],
"ends": {"200": 9, "cut": 1}}`

func TestLossesAndWindowsOfReport(t *testing.T) {
	is := is.New(t)
	read, err := Read(strings.NewReader(report))
	is.NoErr(err)
	losses := read.Losses()
	is.Equal(len(losses), 3) // a part or cost without a loss has no row
	is.Equal(losses[0].Cause, "worst windows")
	is.Equal(losses[2], Loss{"price of machine-seconds", 0.02})
	windows := read.BadWindows()
	is.Equal(len(windows), 1)
	is.True(strings.Contains(windows[0], "runners slow") && !strings.Contains(windows[0], "later"))
}

func TestLogLinesAreCountedByOutcome(t *testing.T) {
	is := is.New(t)
	lines, err := explain.Parse("log", strings.NewReader(`  4.2 storage-a-1 I0111 00:07:14.205575   27525 run.go:97] "item run ended" item="1" outcome="gave way" ms=3
  4.3 storage-a-1 I0111 00:07:14.305575   27525 run.go:97] "item run ended" item="2" outcome="gave way" ms=4
  4.3 edge-a-1 I0111 00:07:14.405575   27525 run.go:97] "attempt" id="3" outcome="10061 lost" ms=4
  4.4 edge-a-1 I0111 00:07:14.505575   27525 run.go:97] "attempt" id="4" outcome="lost after 17 ms" ms=4
  4.5 edge-a-1 I0111 00:07:14.505575   27525 run.go:97] "started" id="4"
`))
	is.NoErr(err)
	counts := CountOutcomes(lines)
	is.Equal(len(counts), 3)
	is.Equal(counts[0], Count{"item run ended: gave way", 2})
	is.Equal(counts[2], Count{"attempt: lost after", 1})
}

func TestMalformedReportIsRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "[]", "{}", `{"parts": [["x"]]}`, `{"parts": [["x", 1, 2, 3]]}`, `{"parts": "x"}`} {
		_, err := Read(strings.NewReader(text))
		is.True(err != nil)
	}
}
