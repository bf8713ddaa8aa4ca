package streamorigin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// recordGrace is how long the answers of the other holders are awaited after the first
	// record, since one of them may have a newer record.
	recordGrace = 30 * time.Millisecond
	// retryDelay is the delay after which a caller may try again to resume a stream.
	retryDelay = 250 * time.Millisecond
)

// Resumption is a request of a caller that resumes a stream.
type Resumption struct {
	// ID is the ID of the request, and Attempt is the caller's attempt that brought the first
	// event; empty if the caller names none.
	ID, Attempt string
	// Content is the hash of the request (see KeyOf).
	Content uint64
	// Service is the service of the stream if its origin is not recorded.
	Service string
	// Window is the result of WindowOf.
	Window time.Duration
}

// Resolve returns where the stream began. It asks the holders of its record, brings this node's list
// of runners up to date meanwhile, and blocks for at most proofTimeout. It returns an error with the
// code StreamNotResumed if the origin is unknown. changed are the IDs of the runners that were listed
// with several versions lately, by this node or another: this node may not know their present one.
func (t *Tracker) Resolve(ctx context.Context, resumption *Resumption) (origin Origin, changed []string, err error) {
	started := time.Now()
	known := t.collect(ctx, resumption, started)
	concluded := known.conclude(resumption.Service)
	t.resumptions.WithLabelValues(string(concluded.proof)).Inc()
	proofAge, fromList := known.proofAge(concluded)
	if fromList {
		t.proofAges.WithLabelValues(string(concluded.proof)).Observe(proofAge.Seconds())
	}
	klog.InfoS("origin of a resumed stream", "id", resumption.ID, "resumes", resumption.Attempt, "service", concluded.origin.Service,
		"version", concluded.origin.SoftwareVersion, "proof", concluded.proof, "source", concluded.source, "proofAgeMs", proofAge.Milliseconds(),
		"asked", known.asked, "answered", len(known.holders), "unanswered", strings.Join(known.unanswered, ","),
		"versions", strings.Join(known.own.versions.Seen, ","), "versionsKnown", known.own.versions.Known,
		"listAgeMs", known.own.versions.Age.Milliseconds(), "changedRunners", strings.Join(known.changedRunners(), ","), "ms", time.Since(started).Milliseconds())
	if concluded.proof == ProofNone {
		return Origin{}, nil, result.New(result.StreamNotResumed, "the software version that began the stream is unknown").WithRetryAfter(retryDelay)
	}
	return concluded.origin, known.changedRunners(), nil
}

// collect collects what is known about a stream that a caller resumes. received is when the caller
// asked. It returns when the holders have answered and one list is known to be current, or none can be.
func (t *Tracker) collect(ctx context.Context, resumption *Resumption, received time.Time) *evidence {
	key := KeyOf(resumption.Content, resumption.Attempt)
	ownAnswer := func() answer { return t.answer(key, resumption.Service, resumption.Window, received) }
	known := &evidence{own: ownAnswer(), allRecord: t.allRecordOrigins()}
	if known.own.record != nil {
		t.catchUp(ctx, checkTimeout)
		if known.own = ownAnswer(); known.own.current {
			return known // the holders have nothing to add
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	caughtUp := t.startCatchUp(ctx, &known.own)
	t.askHolders(ctx, key, resumption, known)
	if resumption.Attempt == "" {
		known.asked = 0 // that nobody has a record proves nothing
	}
	if !known.anyCurrent() {
		t.awaitOwnList(ctx, caughtUp, received, known.conclude(resumption.Service).proof)
	}
	known.own = ownAnswer()
	return known
}

const (
	// proofTimeout is how long a node at which a stream is resumed waits until its own list of
	// runners is known to be current, if only that proves the version.
	proofTimeout = 500 * time.Millisecond
	// checkTimeout is how long a node waits for a current list that may show that a runner has
	// come back with another version.
	checkTimeout = 150 * time.Millisecond
)

// startCatchUp brings this node's list up to date. The channel is closed when the list is known to be
// current, or can't be known to be within proofTimeout.
func (t *Tracker) startCatchUp(ctx context.Context, own *answer) <-chan struct{} {
	caughtUp := make(chan struct{})
	timeout := checkTimeout
	if own.mayProveSole() {
		timeout = proofTimeout
	}
	catchUp := func() {
		defer close(caughtUp)
		t.catchUp(ctx, timeout)
	}
	if own.record != nil || !t.sending.Go(catchUp) { // with a record, it was tried; Go refuses when this node stops
		close(caughtUp)
	}
	return caughtUp
}

// awaitOwnList waits until startCatchUp has ended, but only for checkTimeout since the caller asked if the
// version is proven already: the list can then only show that a runner has come back.
func (t *Tracker) awaitOwnList(ctx context.Context, caughtUp <-chan struct{}, received time.Time, proven Proof) {
	if proven != ProofNone {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, received.Add(checkTimeout))
		defer cancel()
	}
	select {
	case <-caughtUp:
	case <-ctx.Done():
	}
}

// ChangedRunners returns the IDs of the service's runners that were listed with several versions during
// the window, by this node's list, which it first brings up to date for up to checkTimeout.
func (t *Tracker) ChangedRunners(ctx context.Context, service string, window time.Duration) []string {
	t.catchUp(ctx, checkTimeout)
	return t.versions.Knowledge(service, window, time.Now()).ChangedRunners
}

// catchUp waits until this node's list is known to be current, or can't be known to be.
func (t *Tracker) catchUp(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t.lists.CatchUp(ctx)
}

// answer returns what this node knows about a stream that a caller asked to resume at the given time.
func (t *Tracker) answer(key Key, service string, window time.Duration, received time.Time) answer {
	now := time.Now()
	versions := t.versions.Knowledge(service, window, now)
	own := answer{
		node: t.directory.Self().NodeId, complete: t.table.Complete(window, now),
		versions: versions, current: versions.Age <= now.Sub(received),
	}
	if record, found := t.table.Find(key, now); found {
		own.record = &record
	}
	return own
}

// allRecordOrigins reports whether all known nodes record the origins of their streams.
func (t *Tracker) allRecordOrigins() bool {
	return !slices.ContainsFunc(t.directory.Records(), func(node *wirev1.NodeRecord) bool { return !node.RecordsStreamOrigins })
}

// maxAsked bounds the nodes that are asked about one stream.
const maxAsked = 3 * maxHolders

// inquiry asks holders about one stream.
type inquiry struct {
	tracker    *Tracker
	key        Key
	resumption *Resumption
	// asked are the IDs of the nodes that were asked.
	asked   map[string]bool
	answers chan *answer
}

// ask asks the holders that were not asked before.
func (i *inquiry) ask(ctx context.Context, holders []*wirev1.NodeRecord) {
	for _, holder := range holders {
		if i.asked[holder.NodeId] || len(i.asked) >= maxAsked {
			continue
		}
		i.asked[holder.NodeId] = true
		i.tracker.sending.Go(func() { i.answers <- i.tracker.ask(ctx, holder, i.key, i.resumption) })
	}
}

// covers reports whether each answer names its holders, and all of them were asked.
func (i *inquiry) covers(answers []answer) bool {
	notAsked := func(holder *wirev1.NodeRecord) bool { return !i.asked[holder.NodeId] }
	return !slices.ContainsFunc(answers, func(known answer) bool {
		return len(known.holders) == 0 || slices.ContainsFunc(known.holders, notAsked)
	})
}

// unanswered returns the IDs of the nodes that were asked and are not among the answers.
func (i *inquiry) unanswered(answers []answer) []string {
	silent := maps.Clone(i.asked)
	for _, known := range answers {
		delete(silent, known.node)
	}
	return slices.Sorted(maps.Keys(silent))
}

// askHolders asks all holders for the record at the same time, and then those that only their answers
// name: a node that has just started does not know all nodes with disks. It adds the answers. It
// returns when all have answered or failed, or recordGrace after the first record.
func (t *Tracker) askHolders(ctx context.Context, key Key, resumption *Resumption, known *evidence) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asking := &inquiry{tracker: t, key: key, resumption: resumption, asked: map[string]bool{}, answers: make(chan *answer, maxAsked)}
	asking.ask(ctx, holdersOf(t.directory.Disks(), key))
	defer func() {
		known.asked, known.allAsked = len(asking.asked), asking.covers(known.holders)
		known.unanswered = asking.unanswered(known.holders)
	}()
	var grace <-chan time.Time // nil: not before there is a record
	for received := 0; received < len(asking.asked); received++ {
		select {
		case answered := <-asking.answers:
			if answered == nil {
				continue
			}
			known.holders = append(known.holders, *answered)
			asking.ask(ctx, answered.holders)
			if answered.record != nil && grace == nil {
				grace = time.After(recordGrace)
			}
		case <-grace:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ask asks one holder; the answer is nil if the call fails.
func (t *Tracker) ask(ctx context.Context, holder *wirev1.NodeRecord, key Key, resumption *Resumption) *answer {
	query := &wirev1.StreamOriginQuery{Key: uint64(key), Service: resumption.Service, WindowMs: uint32(resumption.Window.Milliseconds())}
	var reply wirev1.StreamOriginReply
	err := t.caller.Call(ctx, holder.Address, rpc.ClassControl, wirev1.Method_METHOD_STREAM_ORIGIN_FIND, query, &reply)
	if err != nil {
		klog.InfoS("holder of a stream's origin did not answer", "id", resumption.ID, "node", holder.NodeId, "err", err)
		return nil
	}
	return decodeAnswer(holder.NodeId, &reply)
}

func decodeAnswer(node string, reply *wirev1.StreamOriginReply) *answer {
	decoded := &answer{node: node, complete: reply.Complete, holders: reply.Holders}
	if reply.Versions != nil {
		decoded.current = reply.Versions.Current
		decoded.versions = runnerset.VersionKnowledge{
			Known: reply.Versions.Known, Seen: reply.Versions.Seen, InContact: reply.Versions.InContact, Established: reply.Versions.Established,
			ChangedRunners: reply.Versions.ChangedRunners, Age: time.Duration(reply.Versions.AgeMs) * time.Millisecond,
		}
	}
	if reply.Record != nil {
		decoded.record = decodeRecord(reply.Record)
	}
	return decoded
}

func decodeRecord(encoded *wirev1.StreamOriginRecord) *Record {
	return &Record{Origin{encoded.Service, encoded.SoftwareVersion}, encoded.Sequence, encoded.Runner}
}
