package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Work identifies a request, or a batch item, and the shared parts of its prompt.
type Work struct {
	// ID is the request's id, for logs.
	ID string
	// Fingerprint identifies the request's content.
	Fingerprint Fingerprint
	// Service is the service that is to run the request.
	Service string
	// Parts identifies the parts of the prompt that other requests may share, without
	// repetitions and at most MaxParts of them.
	Parts []Part
	// MayTry permits that the work is the trial of a hold.
	MayTry bool
	// Item states that the work is a batch item. The endings of runners under an item say nothing
	// about the item as a whole, only about the parts of its prompt.
	Item bool
	// trials contains the held request and the held parts of which this work is the trial.
	trials []Fingerprint
}

// Part is a part of the prompts of one tenant.
type Part struct {
	// Fingerprint identifies the part and its tenant.
	Fingerprint Fingerprint
	// Name is the caller's name of the part, for logs; empty if unknown.
	Name string
}

// MaxParts is the maximum number of parts of a prompt that are tracked. Further parts are
// ignored.
const MaxParts = 64

// partDomain starts the hashed text of a part, so that parts and requests have different
// fingerprints.
const partDomain = "prompt part"

// NewPart returns a part of a tenant's prompts; id identifies the part's text.
func NewPart(tenant string, id uint64, name string) Part {
	digest := xxhash.New() // Write never returns an error.
	for _, text := range []string{partDomain, tenant} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, id))
	return Part{Fingerprint(digest.Sum64()), name}
}

// AddPart adds a part, unless the work already has it or has MaxParts parts.
func (w *Work) AddPart(part Part) {
	for _, present := range w.Parts {
		if present.Fingerprint == part.Fingerprint {
			return
		}
	}
	if len(w.Parts) < MaxParts {
		w.Parts = append(w.Parts, part)
	}
}

// labelOf returns the name of the part of the work that a hold names; empty if it is the work as a
// whole that is held.
func (w *Work) labelOf(hold *Hold) string {
	for i := range w.Parts {
		if w.Parts[i].Fingerprint == hold.Fingerprint {
			return w.Parts[i].label()
		}
	}
	return ""
}

// label returns the name of the part, or its fingerprint if the name is unknown.
func (p *Part) label() string {
	if p.Name == "" {
		return p.Fingerprint.String()
	}
	return p.Name
}

// Run is one run of a request at a runner.
type Run struct {
	// Start identifies the start of the runner (runnerset.Record.StartID).
	Start   string
	Address string
	// Version is the version of the runner's software.
	Version string
	// Began is when the request was sent to the runner, and FirstEvent when the first event of
	// the response came; zero if there was none.
	Began      time.Time
	FirstEvent time.Time
}

// endedAt returns the ending of the run's runner.
func (r *Run) endedAt(now time.Time, service string) observedEnding {
	return observedEnding{runner: r.Start, service: service, at: now, ran: max(0, now.Sub(r.Began))}
}

// Refusal says why a request must not be sent to runners.
type Refusal struct {
	// Fingerprint is that of the request, or of the part of its prompt that is held.
	Fingerprint Fingerprint
	// Part is the name of the held part; empty if the request as a whole is held.
	Part string
	// Remaining is the time until the hold expires.
	Remaining time.Duration
}

// String describes what is held, for error messages.
func (r Refusal) String() string {
	if r.Part == "" {
		return fmt.Sprintf("runners end under this request (fingerprint %v)", r.Fingerprint)
	}
	return fmt.Sprintf("runners end under requests with the part %s of its prompt (fingerprint %v)", strconv.Quote(r.Part), r.Fingerprint)
}
