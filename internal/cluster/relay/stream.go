package relay

import (
	"context"
	"errors"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// openTimeout bounds the time until a source has taken the question.
const openTimeout = 500 * time.Millisecond

// errOtherInterest ends a source that was asked for other runners than are wanted
// now.
var errOtherInterest = errors.New("other runners are wanted")

// errBehind ends a source whose list or selection was older than what is held here by
// then, and so was left out, as would be all that follows. It is asked again.
var errBehind = errors.New("what the source sent first is behind this node")

// Renew asks again for the runners that are wanted, if these are others.
func (f *Follower) Renew() {
	if f.Interest == nil {
		return
	}
	wanted := f.Interest()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for slot := range f.sources {
		one := &f.sources[slot]
		if one.end != nil && one.interest != (subset.Interest{}) && one.interest != wanted {
			one.end()
		}
	}
}

// request is what this node asks a source for.
func (f *Follower) request() (*wirev1.FollowRequest, subset.Interest) {
	request := &wirev1.FollowRequest{After: f.Merger.Revision()}
	if !f.Nodes.Large() {
		return request, subset.Interest{}
	}
	request.Level = f.Level()
	if request.Level < leafLevel || f.Interest == nil {
		if f.Merger.Partial() {
			request.After = -1 // all runners are wanted from now on
		}
		return request, subset.Interest{}
	}
	interest := f.Interest()
	request.Interest = &wirev1.RunnerInterest{
		Node: interest.Node, Zone: interest.Zone, Near: uint32(interest.Near), Far: uint32(interest.Far),
	}
	return request, interest
}

// follow takes a source's changes until it falls silent, or says that the store
// does not answer it. It calls answered for each reply of a source that is up to
// date with the store.
func (f *Follower) follow(parent context.Context, slot int, address string, answered func()) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := time.AfterFunc(openTimeout, cancel)
	defer silence.Stop()
	request, interest := f.request()
	f.mutex.Lock()
	f.sources[slot].interest, f.sources[slot].end = interest, cancel
	f.mutex.Unlock()
	stream, err := f.Pool.Open(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_FOLLOW, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		silence.Reset(f.Timing.orDefault().HeartbeatTimeout)
		reply := &wirev1.FollowReply{}
		if err := stream.Receive(ctx, reply); err != nil {
			if parent.Err() == nil && f.outdated(request, interest) {
				return errOtherInterest
			}
			return err
		}
		selective := request.Interest != nil
		deliver(reply, f.Merger, interest)
		taken := f.Merger.Partial() == selective
		switch {
		case f.outdated(request, interest):
			return errOtherInterest
		case reply.Revision > 0 && !taken:
			return errBehind
		case reply.Lost:
			f.reportLost()
			return errLost
		case taken: // else the source has yet to come up to what is held here
			f.confirm(slot)
			answered()
		}
	}
}

// outdated reports whether a source would be asked for something else by now.
func (f *Follower) outdated(request *wirev1.FollowRequest, interest subset.Interest) bool {
	if !f.Nodes.Large() {
		return false
	}
	level := f.Level()
	return request.Level != level || level == 0 && !f.turnedAway() || request.Interest != nil && f.Interest() != interest
}
