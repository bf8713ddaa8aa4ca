package forwarding

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/forwardtrace"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

var faultNames = map[fault]string{faultRefused: "refused", faultSilent: "silent", faultRepliesLost: "replies lost"}

// A node without a direct path is answered through peers. Once the path is known to be
// broken, no call waits for it, and it is used again after it works again.
func TestBrokenPathIsBypassedUntilItWorks(t *testing.T) {
	for kind, name := range faultNames {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 4, 1, 0, answering())
			asker, disk := f.edges[0], f.disks[0]
			f.cut(kind, asker)
			is.NoErr(asker.read(disk, longTimeout))
			is.True(asker.Broken(disk.address, time.Now()))
			before := asker.transport.count(disk.address)
			for range 20 {
				is.NoErr(asker.read(disk, longTimeout))
				is.NoErr(asker.submit(disk, longTimeout))
			}
			is.Equal(asker.transport.count(disk.address), before) // only probes use the broken path
			f.cut(faultNone, asker)
			eventually.Require(t, "the direct path is restored", func() bool {
				time.Sleep(2 * time.Second / forwardedPerSecond) // stays within the forwarders' rate limit
				is.NoErr(asker.read(disk, longTimeout))
				return !asker.Broken(disk.address, time.Now())
			}, func() any { return asker.transport.count(disk.address) })
		})
	}
}

// A direct answer that arrives after the answer of a forwarder shows that the path works.
func TestLateDirectAnswerRestoresPath(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_READ] = func(ctx context.Context, stream *rpc.ServerStream) error {
		if reads.Add(1) == 1 {
			time.Sleep(4 * maxHedgeDelay)
		}
		return stream.Send(&wirev1.QueueReadReply{})
	}
	f := startFleet(t, 2, 1, 0, serve)
	is.NoErr(f.edges[0].read(f.disks[0], longTimeout))
	eventually.Require(t, "the path works", func() bool { return !f.edges[0].Broken(f.disks[0].address, time.Now()) }, func() any { return reads.Load() })
}

// A job is not sent on a second path while it may arrive on the first one.
func TestUnansweredJobIsNotForwarded(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 1, 0, answering())
	f.cut(faultRepliesLost, f.edges[0])
	err := f.edges[0].submit(f.disks[0], callTimeout)
	is.True(err != nil)
	is.True(result.CodeOf(err).Entry().Ran != result.RanNo) // it has been executed
	is.Equal(f.edges[1].forwarded("answered")+f.edges[2].forwarded("answered"), 0)
}

// A forwarder that is partitioned from the target too must not end the call: the next one is
// used.
func TestPartitionedForwardersArePassedOver(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4, 1, 0, answering())
	f.cut(faultRefused, f.edges[0], f.edges[1], f.edges[2])
	for range 10 {
		is.NoErr(f.edges[0].read(f.disks[0], longTimeout))
		is.NoErr(f.edges[0].submit(f.disks[0], longTimeout))
	}
	is.Equal(f.edges[1].forwarded("answered")+f.edges[2].forwarded("answered"), 0) // forwarded once only
}

// If no peer reaches the target, the error says that the request was not executed, and it was
// not.
func TestWithoutUsablePeerNothingRuns(t *testing.T) {
	is := is.New(t)
	var executed atomic.Int64
	serve := map[wirev1.Method]rpc.StreamHandler{}
	for method := range answering() {
		serve[method] = func(context.Context, *rpc.ServerStream) error { executed.Add(1); return nil }
	}
	f := startFleet(t, 6, 1, 0, serve)
	f.cut(faultRefused, f.edges...)
	for range 20 {
		for _, err := range []error{f.edges[0].read(f.disks[0], longTimeout), f.edges[0].submit(f.disks[0], longTimeout)} {
			is.Equal(result.CodeOf(err), result.PeerUnreachable)
		}
	}
	is.Equal(executed.Load(), int64(0))
}

// A forwarder may be lost after it has delivered the request: a job is then in doubt, and a
// repeatable call is answered by the next forwarder.
func TestForwarderLostAfterDelivery(t *testing.T) {
	is := is.New(t)
	var executed atomic.Int64
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_SUBMIT] = func(context.Context, *rpc.ServerStream) error {
		executed.Add(1)
		return nil
	}
	f := startFleet(t, 2, 1, 0, serve)
	asker, lost := f.edges[0], f.edges[1]
	f.cut(faultRefused, asker)
	lost.transport.set(faultRepliesLost, f.disks[0].address)
	failed := make(chan error, 1)
	go func() { failed <- asker.submit(f.disks[0], longTimeout) }()
	eventually.Require(t, "the job is delivered", func() bool { return executed.Load() == 1 }, func() any { return executed.Load() })
	go lost.server.Close()
	is.Equal(result.CodeOf(<-failed), result.CommitUnknown)
	is.Equal(executed.Load(), int64(1))
}

// A read that may be repeated is answered by another forwarder if the first one gets no reply.
func TestReadIsRepeatedThroughNextForwarder(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 1, 0, answering())
	f.cut(faultRefused, f.edges[0])
	f.edges[1].transport.set(faultRepliesLost, f.disks[0].address)
	for range 5 {
		is.NoErr(f.edges[0].read(f.disks[0], longTimeout))
	}
	is.Equal(f.edges[1].forwarded("answered"), 0)
}

// Nodes of the previous version do not forward calls; the others are found among them.
func TestNodesOfPreviousVersion(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4, 1, 3, answering())
	f.cut(faultRefused, f.edges[0])
	is.NoErr(f.edges[0].read(f.disks[0], longTimeout))
	is.NoErr(f.edges[0].submit(f.disks[0], longTimeout))

	f = startFleet(t, 3, 1, 3, answering())
	f.cut(faultRefused, f.edges[0])
	is.Equal(result.CodeOf(f.edges[0].submit(f.disks[0], longTimeout)), result.PeerUnreachable)
}

// While a third of a fleet asks the others, each of them stays within its limits, and each
// call ends with an answer, as not sent, or as unknown.
func TestForwardersStayWithinLimits(t *testing.T) {
	is := is.New(t)
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_READ] = func(_ context.Context, stream *rpc.ServerStream) error {
		time.Sleep(20 * time.Millisecond)
		return stream.Send(&wirev1.QueueReadReply{})
	}
	f := startFleet(t, 9, 2, 0, serve)
	askers, forwarders := f.edges[:3], f.edges[3:]
	f.cut(faultRefused, askers...)
	var answered, failed atomic.Int64
	var group sync.WaitGroup
	for _, asker := range askers {
		for worker := range 60 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 5 {
					switch err := asker.read(f.disks[worker%2], longTimeout); result.CodeOf(err) {
					case result.OK:
						answered.Add(1)
					case result.PeerUnreachable, result.CommitUnknown:
						failed.Add(1)
					default:
						t.Errorf("call ended with %v", err)
					}
				}
			}()
		}
	}
	group.Wait()
	t.Logf("%d answered, %d failed", answered.Load(), failed.Load())
	is.True(answered.Load() > 0)
	for _, node := range forwarders {
		is.True(node.transport.most() <= maxForwardedCalls)
		inUse := func() [2]int {
			node.forwarder.mutex.Lock()
			defer node.forwarder.mutex.Unlock()
			return [2]int{node.forwarder.limits.calls, node.forwarder.limits.bytes}
		}
		eventually.Require(t, "all calls are released", func() bool { return inUse() == [2]int{} }, func() any { return inUse() })
	}
}

// Paths that break and heal while many calls are in progress cause neither a lost call nor a
// job that runs although its caller is told that it does not.
func TestConcurrentCallsWhilePathsChange(t *testing.T) {
	var mutex sync.Mutex
	executed := map[string]bool{}
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_SUBMIT] = func(_ context.Context, stream *rpc.ServerStream) error {
		var request wirev1.QueueSubmitRequest
		if err := stream.DecodeRequest(&request); err != nil {
			return err
		}
		mutex.Lock()
		executed[request.Job.Id] = true
		mutex.Unlock()
		return stream.Send(&wirev1.QueueSubmitReply{})
	}
	f := startFleet(t, 5, 2, 0, serve)
	var notRun []string
	var group sync.WaitGroup
	const shortTimeout = callTimeout / 2
	for worker := range 24 {
		group.Add(1)
		go func() {
			defer group.Done()
			asker := f.edges[worker%len(f.edges)]
			for number := range 8 {
				asker.transport.set(fault(rand.IntN(4)), f.disks[worker%2].address)
				_ = asker.read(f.disks[0], shortTimeout)
				job := fmt.Sprintf("%d-%d", worker, number)
				ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
				err := asker.Call(ctx, f.disks[1].address, rpc.ClassOnline, wirev1.Method_METHOD_QUEUE_SUBMIT,
					&wirev1.QueueSubmitRequest{Job: &wirev1.QueueJob{Id: job}}, &wirev1.QueueSubmitReply{})
				cancel()
				if result.CodeOf(err) == result.PeerUnreachable {
					mutex.Lock()
					notRun = append(notRun, job)
					mutex.Unlock()
				}
			}
		}()
	}
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	t.Logf("%d jobs executed, %d reported as not sent", len(executed), len(notRun))
	for _, job := range notRun {
		if executed[job] {
			t.Errorf("job %s was executed and reported as not sent", job)
		}
	}
}

// When a path breaks, the paths to the other nodes are tried at once: those that answer are
// trusted, and calls do not wait long on the others.
func TestOtherPathsAreProbedWhenOneBreaks(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 0, answering())
	asker := f.edges[0]
	asker.transport.set(faultRefused, f.disks[0].address, f.disks[1].address)
	is.NoErr(asker.read(f.disks[0], longTimeout))
	suspect := func(disk *member) bool { return asker.view(disk.address, time.Now()).suspect }
	eventually.Require(t, "the path that works is trusted", func() bool { return !suspect(f.disks[2]) }, func() any { return suspect(f.disks[2]) })
	is.True(suspect(f.disks[1]))
	is.Equal(asker.transport.count(f.disks[1].address)+asker.transport.count(f.disks[2].address), 0) // only probes
}

// Calls that wait at the target are not sent on a second path while it waits.
func TestWaitingReadsAreNotSentTwice(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_READ] = func(_ context.Context, stream *rpc.ServerStream) error {
		reads.Add(1)
		time.Sleep(2 * maxHedgeDelay)
		return stream.Send(&wirev1.QueueReadReply{})
	}
	f := startFleet(t, 2, 1, 0, serve)
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	request := &wirev1.QueueReadRequest{JobId: "j", WaitMs: uint32(longTimeout.Milliseconds())}
	is.NoErr(f.edges[0].Call(ctx, f.disks[0].address, rpc.ClassOnline, wirev1.Method_METHOD_QUEUE_READ, request, &wirev1.QueueReadReply{}))
	is.Equal(reads.Load(), int64(1))
}

// The trace of a call names the peer that forwarded it, and is empty for a direct call.
func TestTraceNamesForwarder(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 1, 0, answering())
	read := func() string {
		ctx, trace := forwardtrace.With(context.Background())
		is.NoErr(f.edges[0].Call(ctx, f.disks[0].address, rpc.ClassOnline, wirev1.Method_METHOD_QUEUE_READ, &wirev1.QueueReadRequest{}, &wirev1.QueueReadReply{}))
		return trace.String()
	}
	is.Equal(read(), "")
	f.cut(faultRefused, f.edges[0])
	is.Equal(read(), f.edges[1].address)
}

// The target's refusals arrive unchanged, and show that the forwarder reaches it.
func TestRefusalsAreForwarded(t *testing.T) {
	is := is.New(t)
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_READ] = func(context.Context, *rpc.ServerStream) error {
		return result.New(result.NotLeader, "led by another node").WithRetryAfter(time.Second)
	}
	f := startFleet(t, 2, 1, 0, serve)
	f.cut(faultRefused, f.edges[0])
	err := f.edges[0].read(f.disks[0], longTimeout)
	is.Equal(result.FromError(err), result.New(result.NotLeader, "led by another node").WithRetryAfter(time.Second))
	is.True(f.edges[0].Broken(f.disks[0].address, time.Now()))
}

// A refusal that arrives through a forwarder is no proof that the direct call, which may still
// arrive, is not executed.
func TestRefusalBesideUnansweredCallIsUnknown(t *testing.T) {
	is := is.New(t)
	serve := answering()
	serve[wirev1.Method_METHOD_QUEUE_READ] = func(context.Context, *rpc.ServerStream) error {
		return result.New(result.NotLeader, "led by another node")
	}
	f := startFleet(t, 2, 1, 0, serve)
	f.cut(faultSilent, f.edges[0])
	is.Equal(result.CodeOf(f.edges[0].read(f.disks[0], longTimeout)), result.CommitUnknown)
	is.Equal(result.CodeOf(f.edges[0].read(f.disks[0], longTimeout)), result.NotLeader) // sent on one path only
}

// A forwarder whose own direct path is broken refuses at once: it neither uses this path nor
// another forwarder.
func TestForwarderWithBrokenPathRefuses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 1, 0, answering())
	disk, forwarder := f.disks[0], f.edges[1]
	f.cut(faultRefused, forwarder)
	is.NoErr(forwarder.read(disk, longTimeout))
	is.True(forwarder.Broken(disk.address, time.Now()))
	before, others := forwarder.transport.count(disk.address), f.edges[0].forwarded("answered")+f.edges[2].forwarded("answered")
	reply, err := forwarder.forwarder.forward(context.Background(), "edge-00", &wirev1.ForwardRequest{Address: disk.address, Method: wirev1.Method_METHOD_QUEUE_READ, Class: uint32(rpc.ClassOnline)})
	is.NoErr(err)
	is.True(!reply.Delivered)
	is.Equal(result.Code(reply.Status.Code), result.PeerUnreachable)
	is.Equal(forwarder.forwarded("unreachable"), 1)
	is.Equal(forwarder.transport.count(disk.address), before)
	is.Equal(f.edges[0].forwarded("answered")+f.edges[2].forwarded("answered"), others)
}

// blockingConnections is a Transport whose dials end with their context.
type blockingConnections struct {
	Transport
	dialled chan rpc.Class
}

func (b *blockingConnections) Connect(ctx context.Context, _ string, class rpc.Class) error {
	b.dialled <- class
	<-ctx.Done()
	return ctx.Err()
}

// A dial in progress for one class of traffic does not count for another, which would then be
// called without a connection and without the limit on the time for it.
func TestClassesAreDialledSeparately(t *testing.T) {
	is := is.New(t)
	caller, _ := recordingCaller(t)
	transport := &blockingConnections{dialled: make(chan rpc.Class, 8)}
	caller.transport = transport
	forwarder := NewForwarder(caller, nil, prometheus.NewRegistry())
	for _, class := range []rpc.Class{rpc.ClassOnline, rpc.ClassBulk} {
		_, dialling := forwarder.startDial("storage-1:1", class)
		is.True(dialling)
		_, dialling = forwarder.startDial("storage-1:1", class) // waits for the same dial
		is.True(dialling)
	}
	caller.Close()
	is.Equal(len(transport.dialled), 2)
	is.Equal(len(forwarder.connecting), 0)
}

// A forwarder calls only nodes with disks, and only the methods of queue shards.
func TestForwarderRefusesOtherCalls(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, 1, 0, answering())
	for _, request := range []*wirev1.ForwardRequest{
		{Address: f.disks[0].address, Method: wirev1.Method_METHOD_PEER_STATE},
		{Address: f.disks[0].address, Method: wirev1.Method_METHOD_FORWARD},
		{Address: f.disks[0].address, Method: wirev1.Method_METHOD_QUEUE_READ, Class: 99},
		{Address: f.edges[0].address, Method: wirev1.Method_METHOD_QUEUE_READ},
		{Address: "127.0.0.1:1", Method: wirev1.Method_METHOD_QUEUE_READ},
	} {
		reply, err := f.edges[1].forwarder.forward(context.Background(), "edge-00", request)
		is.NoErr(err)
		is.True(!reply.Delivered)
	}
	is.Equal(f.edges[1].forwarded("invalid"), 5)
	is.Equal(f.edges[1].transport.most(), 0)
}
