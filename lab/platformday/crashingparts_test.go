package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// deadlyPart is a part of prompts that crashes runners.
	deadlyPart = "deadly"
	// soundPerSecond and deadlyPerSecond are the numbers of requests per second without
	// and with such a part.
	soundPerSecond, deadlyPerSecond = 90, 10
	// calmTime is the time before the first deadly request.
	calmTime = 4 * time.Second
	// crashingTime is the time in which deadly requests are sent.
	crashingTime = 14 * time.Second
	// recoverTime is the time after the ending number standin.EndingsBeforeLimit after which
	// sound requests have to be served again, and minServedShare is how often, compared to
	// the calm time.
	recoverTime    = 2 * standin.LearnTime
	minServedShare = 0.5
	// secondParts is the number of second parts among which sound requests are divided.
	secondParts = 7
)

func secondPart(random *rand.Rand) string { return fmt.Sprint("second", random.IntN(secondParts)) }

func soundPrompt(random *rand.Rand) []string { return []string{"first", secondPart(random)} }

// crashingPartCase is a test of requests with a part that crashes runners.
type crashingPartCase struct {
	name            string
	prompt          func(random *rand.Rand) []string
	parts           []string
	endsHeadCleanly bool
}

// Few requests with a part that crashes runners may reach runners once this part can be known,
// wherever it stands in the prompt. Sound requests with the same other parts must be served.
func TestPartThatCrashesRunnersReachesFewOfThem(t *testing.T) {
	t.Parallel() // most of the time is spent waiting
	program := build(t, t.TempDir())
	tests := []crashingPartCase{
		{name: "first", prompt: func(random *rand.Rand) []string { return []string{deadlyPart, secondPart(random)} }, parts: []string{deadlyPart}},
		{name: "second", prompt: func(*rand.Rand) []string { return []string{"first", deadlyPart} }, parts: []string{deadlyPart}},
		{name: "third", prompt: func(random *rand.Rand) []string { return []string{"first", secondPart(random), deadlyPart} }, parts: []string{deadlyPart}},
		{
			name: "second, with a clean end of the connection", endsHeadCleanly: true, parts: []string{deadlyPart},
			prompt: func(*rand.Rand) []string { return []string{"first", deadlyPart} },
		},
		{
			name: "two parts", parts: []string{deadlyPart + "0", deadlyPart + "1"},
			prompt: func(random *rand.Rand) []string { return []string{"first", fmt.Sprint(deadlyPart, random.IntN(2))} },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checkCrashingPart(t, program, test)
		})
	}
}

func checkCrashingPart(t *testing.T, program string, test crashingPartCase) {
	t.Helper()
	deadly := map[string]bool{}
	for _, part := range test.parts {
		deadly[part] = true
	}
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: program, Folder: folder, Seed: 1, Progress: os.Stderr, Edges: 5, Runners: 10,
		CrashesOnPart: func(part string) bool { return deadly[part] }, EndsHeadCleanly: test.endsHeadCleanly,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	sound := &promptLoad{Day: d, perSecond: soundPerSecond, draw: soundPrompt, target: standin.EventsPrefix + "x", name: "sound"}
	crashing := &promptLoad{Day: d, perSecond: deadlyPerSecond, draw: test.prompt, target: standin.EventsPrefix + "x", name: "crashing"}
	ctx, stop := context.WithTimeout(t.Context(), calmTime+crashingTime)
	defer stop()
	began := time.Now()
	var loads tasks.Group
	loads.Go(func() { sound.run(ctx, rand.New(rand.NewPCG(1, 1))) })
	loads.Go(func() {
		time.Sleep(calmTime)
		crashing.run(ctx, rand.New(rand.NewPCG(1, 2)))
	})
	loads.Wait()
	calm, _ := sound.servedShare(began.Add(time.Second), began.Add(calmTime))
	for _, part := range test.parts {
		checkPartCrashes(t, d, part)
	}
	latest := time.Time{}
	for _, part := range test.parts {
		if times := d.ledger.PartCrashes(part); len(times) > 0 {
			latest = later(latest, times[min(len(times), standin.EndingsBeforeLimit)-1])
		}
	}
	after, sent := sound.servedShare(latest.Add(recoverTime), began.Add(calmTime+crashingTime))
	t.Logf("sound requests served: %.2f before, %.2f of %d after", calm, after, sent)
	if sent == 0 || after < minServedShare*calm {
		t.Errorf("%.2f of %d sound requests are served, before it were %.2f", after, sent, calm)
	}
	if t.Failed() {
		t.Log(logTails(folder))
	}
}

// Items with a part that crashes runners are kept away from runners once this part can be known,
// and the other items of their jobs are completed. Requests of callers with the part are refused
// from then on, also after all nodes were killed.
func TestPartOfItemsThatCrashesRunnersReachesFewOfThem(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr, Runners: 8,
		CrashesOnPart: func(part string) bool { return part == deadlyPart },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	const jobs, itemsPerKind = 4, 5
	var prompts [][]string
	for range itemsPerKind {
		prompts = append(prompts, []string{"first", "second"}, []string{"first", deadlyPart})
	}
	for job := range jobs {
		d.await(t, "the acceptance of a job", func(poll int) bool { return d.client(poll%d.Edges).SubmitPrompts(fmt.Sprint("job", job), prompts) })
	}
	for job := range jobs {
		d.await(t, "the completion of the sound items", func(poll int) bool {
			return d.client(poll%d.Edges).CompletedItems(fmt.Sprint("job", job)) == itemsPerKind
		})
	}
	time.Sleep(recoverTime)
	learned := len(d.ledger.PartCrashes(deadlyPart))
	for _, p := range d.nodes {
		d.restart(p, syscall.SIGKILL)
	}
	for attempt := range sendsPerPhase {
		d.awaitServedRequest(t, fmt.Sprint("after restart", attempt))
		d.client(attempt%d.Edges).PromptRequest(standin.EventsPrefix+"x", fmt.Sprint("again", attempt), []string{"first", deadlyPart})
	}
	listed, err := exec.Command(d.Program, "quarantine", "--cluster", "day", "--node", d.nodes[0].peerAddress).Output()
	if err != nil || !strings.Contains(string(listed), deadlyPart) {
		t.Errorf("the list of the command line does not name the part: %v\n%q", err, listed)
	}
	checkPartCrashes(t, d, deadlyPart)
	if times := d.ledger.PartCrashes(deadlyPart); learned == 0 || len(times) > learned+standin.MaxLaterRuns {
		t.Errorf("%d runs before all nodes were killed, and %d with those after it", learned, len(times))
	}
	if t.Failed() {
		t.Log(logTails(folder))
	}
}

// checkPartCrashes fails the test if too many requests with a part reached runners too late.
func checkPartCrashes(t *testing.T, d *Day, part string) {
	t.Helper()
	times := d.ledger.PartCrashes(part)
	late := standin.LaterRuns(times)
	t.Logf("part %s: %d runs, %d of them later than %v after the ending %d", part, len(times), late, standin.LearnTime, standin.EndingsBeforeLimit)
	if late > standin.MaxLaterRuns {
		t.Errorf("part %s: %d runs began late, allowed are %d", part, late, standin.MaxLaterRuns)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
