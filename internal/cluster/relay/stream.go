package relay

import (
	"context"
	"errors"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// openTimeout limits the time until a source accepts a request.
const openTimeout = 500 * time.Millisecond

// errInterestChanged ends a stream whose request no longer matches this node's level or
// interest.
var errInterestChanged = errors.New("the node's interest or level has changed")

// errSourceBehind ends a stream after an update that did not give the merger the requested
// contents, either all runners or a selection, because the update was older than the
// merger's revision. The merger would ignore the following updates too, so the node has
// to open a new stream.
var errSourceBehind = errors.New("the source's update is older than this node's contents")

// errSourceOutdated ends a stream whose source has not known for MaxAge whether it holds all
// that the store holds, though the source still sends heartbeats.
var errSourceOutdated = errors.New("the source's contents may be outdated")

// RenewInterest ends the streams that receive a selection for another interest than the
// current one; runSlot then opens a new stream. Streams of all runners continue.
func (f *Follower) RenewInterest() {
	if f.Interest == nil {
		return
	}
	wanted := f.Interest()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for slot := range f.sources {
		source := &f.sources[slot]
		if source.stop != nil && source.interest != (subset.Interest{}) && source.interest != wanted {
			source.stop()
		}
	}
}

// request returns the request to send to a source, and the interest that it contains. The
// interest is the zero value if the request is for all runners.
func (f *Follower) request() (*wirev1.FollowRequest, subset.Interest) {
	request := &wirev1.FollowRequest{After: f.Merger.Revision()}
	if !f.Nodes.Large() {
		return request, subset.Interest{}
	}
	request.Level = f.Level()
	if request.Level < leafLevel || f.Interest == nil {
		if f.Merger.Partial() {
			request.After = -1 // the node needs all runners, not a selection
		}
		return request, subset.Interest{}
	}
	interest := f.Interest()
	request.Interest = &wirev1.RunnerInterest{
		Node: interest.Node, Zone: interest.Zone, Near: uint32(interest.Near), Far: uint32(interest.Far),
	}
	return request, interest
}

// follow receives a source's changes until the source refuses, ends the stream, sends no
// reply within HeartbeatTimeout, reports that it has lost the store or holds outdated
// contents, or until this node needs another request (errInterestChanged, errSourceBehind).
// It calls answered for each reply that confirms the source as live.
func (f *Follower) follow(parent context.Context, slot int, address string, answered func()) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	timeout := time.AfterFunc(openTimeout, cancel)
	defer timeout.Stop()
	request, interest := f.request()
	f.mutex.Lock()
	f.sources[slot].interest, f.sources[slot].stop = interest, cancel
	f.mutex.Unlock()
	clock := newSourceClock(boottime.Now())
	stream, err := f.Pool.Open(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_FOLLOW, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		timeout.Reset(f.Timing.orDefault().HeartbeatTimeout)
		reply := &wirev1.FollowReply{}
		if err := stream.Receive(ctx, reply); err != nil {
			if parent.Err() == nil && f.requestOutdated(request, interest) {
				return errInterestChanged
			}
			return err
		}
		received := boottime.Now()
		age := time.Duration(reply.AgeMs)*time.Millisecond + clock.delayOf(reply, received)
		selective := request.Interest != nil
		applyReply(reply, f.Merger, interest)
		applied := f.Merger.Partial() == selective
		switch {
		case f.requestOutdated(request, interest):
			return errInterestChanged
		case reply.Revision > 0 && !applied:
			return errSourceBehind
		case reply.Lost:
			f.reportLost()
			return errStoreLost
		case applied: // otherwise the source has yet to reach the revision of this node
			age += boottime.Since(received) // the reply was being applied
			f.confirm(slot, age)
			if age > f.Timing.orDefault().MaxAge {
				return errSourceOutdated
			}
			if f.Confirmed != nil {
				f.Confirmed(age)
			}
			answered()
		}
	}
}

// requestOutdated reports whether, in a large fleet, a request no longer fits this node:
// its level or interest has changed, or it is at level 0 and has regained the store. The
// result is false in a fleet that is not large.
func (f *Follower) requestOutdated(request *wirev1.FollowRequest, interest subset.Interest) bool {
	if !f.Nodes.Large() {
		return false
	}
	level := f.Level()
	return request.Level != level || level == 0 && !f.storeUnavailable() || request.Interest != nil && f.Interest() != interest
}
