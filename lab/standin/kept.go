package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Kept is a caller that keeps one connection to one node for many requests, and
// uses it until the node says that it closes it, or it is gone.
type Kept struct {
	Callers
	// Pause is the longest time between two requests.
	Pause time.Duration
	// Excused reports whether the node at an address was killed or stood still after
	// a moment: what it cuts then is not counted.
	Excused func(address string, since time.Time) bool

	address string
	conn    net.Conn
	reader  *bufio.Reader
	// fresh: no request was sent on the connection yet.
	fresh bool
}

// dialTime bounds a new connection.
const dialTime = time.Second

// Run sends requests until the context ends. Ids begin with a prefix.
func (k *Kept) Run(ctx context.Context, prefix string) {
	defer k.close()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", prefix, number)
		if k.conn == nil && !k.open() {
			pauseFor(ctx, dialTime/10)
			continue
		}
		k.one(id)
		pauseFor(ctx, rand.N(k.Pause+1))
	}
}

func pauseFor(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (k *Kept) open() bool {
	addresses := k.Front.Addresses()
	if len(addresses) == 0 {
		return false
	}
	k.address = addresses[k.Random.IntN(len(addresses))]
	conn, err := net.DialTimeout("tcp", k.address, dialTime)
	if err != nil {
		return false
	}
	k.conn, k.reader, k.fresh = conn, bufio.NewReader(conn), true
	return true
}

func (k *Kept) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// one sends a request on the connection and checks the answer.
func (k *Kept) one(id string) {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+k.address+k.Prefix+"kept", strings.NewReader("prompt of "+id))
	if err != nil {
		k.Tally.RecordViolation("request %s: %v", id, err)
		return
	}
	request.Host = k.Host
	setCallerHeaders(request, id)
	var wire bytes.Buffer
	if err := request.Write(&wire); err != nil {
		k.Tally.RecordViolation("request %s: %v", id, err)
		return
	}
	_ = k.conn.SetDeadline(began.Add(callerDeadline + time.Second))
	if _, err := k.conn.Write(wire.Bytes()); err != nil {
		k.unanswered(id, began, err)
		return
	}
	response, err := http.ReadResponse(k.reader, request)
	if err != nil {
		k.unanswered(id, began, err)
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		k.cut(id, began, response, string(text), err)
		return
	}
	k.answered(id, response, string(text))
	if response.Close {
		k.close()
	}
}

func (k *Kept) answered(id string, response *http.Response, text string) {
	switch response.StatusCode {
	case http.StatusOK:
		k.checkWhole(id, response.Header, text)
		k.Tally.count(&k.Tally.Served)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if runs := k.Ledger.Runs(id); len(runs) > 0 && k.Once {
			k.Tally.RecordViolation("request %s: refused as not run, and it ran", id)
		}
		k.Tally.count(&k.Tally.Refused)
	default:
		k.Tally.count(&k.Tally.Failed)
	}
}

// unanswered takes a connection that ended without an answer: that is right only if
// the node had not sent the request to a runner, as when it closed an idle
// connection in the moment of sending, or if it was killed.
func (k *Kept) unanswered(id string, began time.Time, err error) {
	k.close()
	k.Tally.count(&k.Tally.Failed)
	if runs := k.Ledger.Runs(id); len(runs) > 0 && !k.outOfTime(began) && !k.Excused(k.address, began) {
		k.Tally.RecordViolation("request %s: passed on by %s, and its connection ended without an answer after %v: %v", id, k.address, time.Since(began).Round(time.Millisecond), err)
	}
}

// outOfTime reports whether the time of a request is over, or nearly: its node may
// end it then.
func (k *Kept) outOfTime(began time.Time) bool {
	return time.Since(began) > callerDeadline-timeSlack
}

// timeSlack covers what a request takes to the node and back.
const timeSlack = 200 * time.Millisecond

// cut takes an answer that broke off. It must be the beginning of the right one; and
// a node that was not killed cuts no answer that a runner has finished, or was still
// at work on when the node left it.
func (k *Kept) cut(id string, began time.Time, response *http.Response, text string, err error) {
	k.close()
	k.Tally.count(&k.Tally.Failed)
	if response.StatusCode == http.StatusOK && !strings.HasPrefix(wholeText(id), text) {
		k.Tally.RecordViolation("request %s: %q is not the beginning of its stream", id, text)
	}
	runs := k.Ledger.Runs(id)
	if len(runs) == 0 || k.outOfTime(began) || k.Excused(k.address, began) {
		return
	}
	if last := runs[len(runs)-1]; (last.Whole || last.Left) && !k.Ledger.Ended(last.Runner) {
		k.Tally.RecordViolation("request %s: %s cut an answer that runner %s had not broken (whole %v) after %d bytes: %v", id, k.address, last.Runner, last.Whole, len(text), err)
	}
}
