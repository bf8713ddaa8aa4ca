package queuestore

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// limitedTenant is the only tenant with a limit that the nodes of test clusters know.
const limitedTenant = "tenant"

// testLimit is the TenantLimit option of the nodes.
func testLimit(tenant string) (allotment.RateLimit, bool) {
	return allotment.RateLimit{Rate: 1000, Burst: 1000}, tenant == limitedTenant
}

// requestCredits requests credits for limitedTenant and returns how many were granted.
func (c *testCluster) requestCredits(count uint32) (uint32, error) {
	reply := &wirev1.AllotmentReply{}
	err := c.call(wirev1.Method_METHOD_ALLOTMENT, &wirev1.AllotmentRequest{Node: "edge", Incarnation: 1, Number: 1, Tenant: limitedTenant, Credits: count}, reply)
	return reply.Credits, err
}

// callLeader sends a request to the leader of shard 0.
func (c *testCluster) callLeader(request *wirev1.AllotmentRequest, reply *wirev1.AllotmentReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.client.Call(ctx, c.nodes[c.leader()].address, rpc.ClassOnline, wirev1.Method_METHOD_ALLOTMENT, request, reply)
}

// The leader grants credits, and so does its successor, but not any number at once.
func TestLeaderGrantsCredits(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.eventually("a credit is granted", func() bool {
		given, err := c.requestCredits(1)
		return err == nil && given == 1
	})
	c.submit("one", 1) // is accepted only once the other nodes are members of the shard
	c.stop(c.awaitLeader())
	c.eventually("the next leader grants a credit", func() bool {
		given, err := c.requestCredits(1)
		return err == nil && given == 1
	})
	given, err := c.requestCredits(1 << 20)
	is.NoErr(err)
	is.True(given < 1<<20)
}

// A leader that loses contact with a quorum grants no more credits, even before it steps down.
func TestIsolatedLeaderGrantsNoCredits(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.eventually("a credit is granted", func() bool {
		given, err := c.requestCredits(1)
		return err == nil && given == 1
	})
	leader := c.awaitLeader()
	for name := range c.nodes {
		if name != leader {
			c.stop(name)
		}
	}
	for until := time.Now().Add(700 * time.Millisecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if given, err := c.requestCredits(1); err == nil {
			t.Fatalf("isolated leader granted %d credits", given)
		}
	}
}

// Credit requests for unknown tenants are refused, and so is a claim that arrives twice.
func TestUnknownTenantAndStaleMessageAreRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.eventually("a credit is granted", func() bool {
		given, err := c.requestCredits(1)
		return err == nil && given == 1
	})
	err := c.callLeader(&wirev1.AllotmentRequest{Node: "edge", Tenant: "other", Credits: 1}, &wirev1.AllotmentReply{})
	is.True(result.Is(err, result.NotReady))
	claim := &wirev1.AllotmentRequest{Node: "edge", Incarnation: 2, Number: 7, Claims: []*wirev1.AllotmentClaim{{Tenant: limitedTenant, Held: 0.1, Wanted: 0.2}}}
	reply := &wirev1.AllotmentReply{}
	is.NoErr(c.callLeader(claim, reply))
	is.Equal(len(reply.Grants), 1)
	err = c.callLeader(claim, &wirev1.AllotmentReply{})
	is.True(result.Is(err, result.StaleEpoch))
}
