package standin

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamHeader names the stream to which a request belongs. All attempts at a stream have
	// the same name, and a runner derives the events from it instead of from the attempt's id.
	streamHeader = "Lab-Stream"
	// streamEvents is the number of events of a stream with streamHeader.
	streamEvents = 30
	// resumesHeader names the attempt that brought the first event of a resumed stream.
	resumesHeader = "Resumes"
	// maxResumeTime is how long a caller tries to resume a stream after it broke off.
	maxResumeTime = 2500 * time.Millisecond
	// maxResumePause is the longest pause before another attempt.
	maxResumePause = 200 * time.Millisecond
)

// StreamTally counts the streams of callers that resume them.
type StreamTally struct {
	mutex sync.Mutex
	// Begun and NotBegun are the numbers of new streams with and without a first event.
	Begun, NotBegun int
	// Continued and NotContinued are the numbers of streams that broke off after their first
	// event and did or did not go on in a later attempt.
	Continued, NotContinued int
	// Mixed describes the streams with events of several software versions.
	Mixed []string
}

// BegunShare returns the share of new streams that began; 1 if there were none.
func (t *StreamTally) BegunShare() float64 { return share(t.Begun, t.NotBegun) }

// ContinuedShare returns the share of broken streams that went on; 1 if there were none.
func (t *StreamTally) ContinuedShare() float64 { return share(t.Continued, t.NotContinued) }

func share(part, rest int) float64 {
	if part+rest == 0 {
		return 1
	}
	return float64(part) / float64(part+rest)
}

// Summary returns the tally as one line of text.
func (t *StreamTally) Summary() string {
	return fmt.Sprintf("begun %d of %d, continued %d of %d, with several versions %d",
		t.Begun, t.Begun+t.NotBegun, t.Continued, t.Continued+t.NotContinued, len(t.Mixed))
}

func (t *StreamTally) add(s *resumedStream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case s.last == 0:
		t.NotBegun++
	default:
		t.Begun++
	}
	if s.broken && s.wentOn {
		t.Continued++
	}
	if s.broken && !s.wentOn {
		t.NotContinued++
	}
	if len(s.versions) > 1 {
		t.Mixed = append(t.Mixed, fmt.Sprintf("stream %s: events of versions %v, attempts %v", s.name, s.versions, s.attempts))
	}
}

// ResumingClient sends streaming requests, each on a new connection, and resumes a stream that
// broke off at another node, as the users' callers do.
type ResumingClient struct {
	Endpoints    Endpoints
	Tally        *Tally
	Streams      *StreamTally
	Host, Prefix string
	Random       *rand.Rand
}

// resumedStream is a stream with its attempts so far.
type resumedStream struct {
	name     string
	attempts []string
	// first is the id of the attempt that brought the first event; last is the number of the
	// last event.
	first string
	last  int64
	// versions are the software versions of the runners that wrote the events.
	versions []string
	// broken is set if the stream broke off after its first event, and wentOn if a later
	// attempt brought a further event.
	broken, wentOn bool
}

// Run sends one stream after the other until the context ends. The names of the streams start
// with the prefix.
func (c *ResumingClient) Run(ctx context.Context, prefix string) {
	for number := 0; ctx.Err() == nil; number++ {
		c.runStream(ctx, fmt.Sprintf("%s-%d", prefix, number))
	}
}

// runStream reads a stream to its end, or until maxResumeTime has passed since its first
// attempt that failed. A stream that the end of the context interrupts is not counted.
func (c *ResumingClient) runStream(ctx context.Context, name string) {
	stream := &resumedStream{name: name}
	var failedAt time.Time
	for ctx.Err() == nil {
		before := stream.last
		c.attempt(ctx, stream)
		if ctx.Err() != nil {
			return
		}
		stream.wentOn = stream.wentOn || stream.broken && stream.last > before
		if stream.last == streamEvents {
			break
		}
		stream.broken = stream.broken || stream.last > 0
		if failedAt.IsZero() {
			failedAt = time.Now()
		}
		if time.Since(failedAt) > maxResumeTime {
			break
		}
		sleepRandomly(ctx, c.Random, maxResumePause)
	}
	if ctx.Err() == nil {
		c.Streams.add(stream)
	}
}

// sleepRandomly waits for a random duration of at most longest, or until the context ends.
func sleepRandomly(ctx context.Context, random *rand.Rand, longest time.Duration) {
	sleep(ctx, time.Duration(random.Float64()*float64(longest)))
}

// attempt makes one attempt at the rest of the stream, and adds the events that it brings.
func (c *ResumingClient) attempt(ctx context.Context, stream *resumedStream) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	id := fmt.Sprintf("%s.%d", stream.name, len(stream.attempts))
	addresses := c.Endpoints.Addresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[c.Random.IntN(len(addresses))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Prefix+"stream", strings.NewReader("prompt of "+stream.name))
	if err != nil {
		c.Tally.RecordViolation("stream %s: %v", stream.name, err)
		return
	}
	request.Host = c.Host
	setRequestHeaders(request, id)
	request.Header.Set(streamHeader, stream.name)
	if stream.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.FormatInt(stream.last, 10))
		request.Header.Set(resumesHeader, stream.first)
	}
	response, err := newClient().Do(request)
	if err != nil {
		stream.attempts = append(stream.attempts, fmt.Sprintf("%s: no response", id))
		return
	}
	defer func() { _ = response.Body.Close() }()
	before := stream.last
	if response.StatusCode == http.StatusOK {
		c.readEvents(stream, id, bufio.NewScanner(response.Body))
	}
	stream.attempts = append(stream.attempts, fmt.Sprintf("%s: status %d, events %d to %d", id, response.StatusCode, before+1, stream.last))
}

// readEvents adds the whole events of a response, each of which must follow the one before.
func (c *ResumingClient) readEvents(stream *resumedStream, id string, lines *bufio.Scanner) {
	number, version := int64(0), ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			number, _ = strconv.ParseInt(value, 10, 64) // 0, which is out of order
		case "event":
			version = value
		case "data":
			if value != EventData(stream.name, number) {
				c.Tally.RecordViolation("stream %s: event %d is %q", stream.name, number, value)
			}
		case "":
			if number != stream.last+1 {
				c.Tally.RecordViolation("stream %s: event %d follows event %d", stream.name, number, stream.last)
				return
			}
			stream.add(id, number, version)
		}
	}
}

func (s *resumedStream) add(attempt string, number int64, version string) {
	if s.first == "" {
		s.first = attempt
	}
	s.last = number
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}
