package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder collects the results of online requests.
type Recorder struct {
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram // microseconds
	tokenGap   *hdrhistogram.Histogram
	// Requests counts all requests, and Failed those without a complete and correct
	// response. Truncated counts streams that ended without an error or an end marker.
	// Wrong counts responses with an unexpected text. Resent counts retries after the
	// loss of the accepting node. Refused counts error responses according to which the
	// request did not run.
	Requests, Failed, Truncated, Wrong, Resent, Refused atomic.Int64
	errors                                              map[string]int
	series                                              []Sample
}

// Sample is the time to first token of one request.
type Sample struct {
	At         time.Time
	FirstToken time.Duration
}

const (
	maxMicroseconds   = 120_000_000
	significantDigits = 3
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		firstToken: hdrhistogram.New(1, maxMicroseconds, significantDigits), tokenGap: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		errors: map[string]int{},
	}
}

// record adds a duration in microseconds to a histogram. Durations outside the
// histogram's range are clamped to it.
func record(histogram *hdrhistogram.Histogram, waited time.Duration) {
	_ = histogram.RecordValue(min(maxMicroseconds, max(1, waited.Microseconds())))
}

func (r *Recorder) recordFirstToken(at time.Time, waited time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record(r.firstToken, waited)
	r.series = append(r.series, Sample{at, waited})
}

func (r *Recorder) recordTokenGap(waited time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record(r.tokenGap, waited)
}

func (r *Recorder) recordError(text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.errors[text]++
}

// Errors returns the number of requests that failed with each error.
func (r *Recorder) Errors() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	copied := make(map[string]int, len(r.errors))
	for text, count := range r.errors {
		copied[text] = count
	}
	return copied
}

// FirstToken returns a percentile (0 to 100) of the time to first token.
func (r *Recorder) FirstToken(quantile float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.firstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// TokenGap returns a percentile (0 to 100) of the time between tokens.
func (r *Recorder) TokenGap(quantile float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.tokenGap.ValueAtQuantile(quantile)) * time.Microsecond
}

// Series returns a copy of the samples collected so far.
func (r *Recorder) Series() []Sample {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Sample(nil), r.series...)
}
