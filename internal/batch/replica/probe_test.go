package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// TestResponseToAnEarlierEpochConfirmsNoProbe guards against a read that misses a committed entry: a leader
// that was killed and leads again counts probes from 1, and took the answer to a message of its former process
// for the confirmation of a probe of its own (review/open/probes).
func TestResponseToAnEarlierEpochConfirmsNoProbe(t *testing.T) {
	memberSet := MemberSet{Generation: 1, Members: []string{"a", "b", "c"}, Copies: 2}
	for _, test := range []struct {
		name             string
		epoch, confirmed uint64
	}{{"an earlier epoch", 4, 0}, {"this epoch", 5, 7}, {"a later epoch", 6, 7}} {
		t.Run(test.name, func(t *testing.T) {
			hard := HardState{Promised: 5, Generation: 1}
			follower := Restore(0, "b", memberSet, testTiming(), rand.New(rand.NewPCG(1, 1)), &disk{}, hard, 0, 0, nil, time.Unix(0, 0))
			follower.Step(time.Unix(1, 0), &wirev1.ReplicaMessage{
				Kind: wirev1.ReplicaKind_REPLICA_KIND_APPEND, From: "a", To: "b", Epoch: test.epoch, Generation: 1, Probe: 7,
			})
			ready := follower.Ready()
			responses := append(ready.Early, ready.Messages...)
			if len(responses) != 1 {
				t.Fatalf("%d responses, want 1", len(responses))
			}
			if probe := responses[0].Probe; probe != test.confirmed {
				t.Fatalf("the response in epoch %d confirms probe %d, want %d", responses[0].Epoch, probe, test.confirmed)
			}
		})
	}
}
