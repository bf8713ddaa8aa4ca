package rpc

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// checkedLink checks a keepalive at its interval in virtual time.
type checkedLink struct {
	keepalive keepalive
	now       time.Time
	use       linkUse
}

func newCheckedLink(k keepalive) *checkedLink {
	l := &checkedLink{keepalive: k, now: time.Unix(1000, 0)}
	l.keepalive.check(l.now, l.use)
	return l
}

// checkAfter makes the next check after a pause, and queues and writes a PING if required.
func (l *checkedLink) checkAfter(pause time.Duration) keepaliveAction {
	l.now = l.now.Add(pause)
	action := l.keepalive.check(l.now, l.use)
	if action == pingLink {
		l.use.written++
		l.keepalive.recordPing(l.use.written)
	}
	return action
}

// timeUntil returns the time until a check requires an action; 0 if none does within a minute.
func (l *checkedLink) timeUntil(wanted keepaliveAction) time.Duration {
	for began := l.now; l.now.Sub(began) < time.Minute; {
		if l.checkAfter(keepaliveInterval) == wanted {
			return l.now.Sub(began)
		}
	}
	return 0
}

// A silent link must be closed soon if something waits for the peer. An unused dialled link is
// not probed.
func TestSilentLinksAreClosed(t *testing.T) {
	const stream, notice = "stream", "notice"
	for name, example := range map[string]struct {
		keepalive keepalive
		use       string
		within    time.Duration
	}{
		"open stream":              {keepalive{class: ClassControl}, stream, 2 * time.Second},
		"replicated log":           {keepalive{class: ClassBulk}, notice, 2500 * time.Millisecond},
		"repeated notices":         {keepalive{class: ClassControl}, notice, 5500 * time.Millisecond},
		"accepted link":            {keepalive{accepted: true}, "", 9500 * time.Millisecond},
		"unused dialled link":      {keepalive{class: ClassOnline}, "", 0},
		"unused link for the log":  {keepalive{class: ClassBulk}, "", 0},
		"accepted link with sends": {keepalive{accepted: true}, notice, 9500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newCheckedLink(example.keepalive)
			l.use.streams = example.use == stream
			if example.use != "" {
				l.use.sent++
			}
			is.Equal(l.timeUntil(closeLink), example.within)
		})
	}
}

// A link must stay open while its PING waits behind other frames, for instance on a slow
// network.
func TestUnwrittenPingDoesNotCloseLink(t *testing.T) {
	is := is.New(t)
	l := newCheckedLink(keepalive{class: ClassBulk})
	l.use.streams = true
	is.Equal(l.checkAfter(keepaliveInterval), pingLink)
	l.keepalive.recordPing(l.use.written + 5)
	is.Equal(l.timeUntil(closeLink), time.Duration(0))
	l.use.written += 5
	is.Equal(l.timeUntil(closeLink), pingTimeout)
}

// A suspension of this process must not count as silence of its peers.
func TestSuspensionDoesNotCloseLinks(t *testing.T) {
	is := is.New(t)
	l := newCheckedLink(keepalive{class: ClassControl})
	l.use.streams = true
	is.Equal(l.checkAfter(keepaliveInterval), pingLink)
	is.Equal(l.checkAfter(time.Hour), keepLink)
	l.use.received++ // the reply that arrived meanwhile
	is.Equal(l.checkAfter(keepaliveInterval), keepLink)
}

// A link must stay open, whatever is sent on it, if the peer replies to each PING in less than
// pingTimeout.
func TestRespondingPeersKeepTheirLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newCheckedLink(keepalive{
			class: Class(rapid.IntRange(0, int(classCount)-1).Draw(t, "class")), accepted: rapid.Bool().Draw(t, "accepted"),
		})
		var replyAt time.Time
		for range 300 {
			l.use.streams = rapid.Bool().Draw(t, "streams")
			l.use.sent += uint64(rapid.IntRange(0, 2).Draw(t, "sent"))
			if !replyAt.IsZero() && !l.now.Before(replyAt) {
				l.use.received++
				replyAt = time.Time{}
			}
			switch l.checkAfter(time.Duration(rapid.IntRange(400, 600).Draw(t, "pause")) * time.Millisecond) {
			case pingLink:
				replyAt = l.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "reply")) * time.Millisecond)
			case closeLink:
				t.Fatalf("the link was closed although the peer replies at %v", replyAt)
			}
		}
	})
}

// serveSilentClient makes a server accept a client that sends nothing after its Hello.
func serveSilentClient(t *testing.T, hello *wirev1.Hello) (lost chan string) {
	t.Helper()
	lost = make(chan string, 1)
	server := NewServer("server", "c", &Counters{})
	server.OnPeerLost(func(peer string) { lost <- peer })
	client, accepted := net.Pipe()
	go server.serveConn(accepted)
	go func() {
		_ = writeHello(client, hello)
		for buffer := make([]byte, 512); ; {
			if _, err := client.Read(buffer); err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() {
		_ = client.Close()
		server.Close()
	})
	return lost
}

// An accepted link that has gone silent must end, so that the server learns that the peer is
// lost. A peer of a version that does not reply to a PING keeps its link.
func TestServerClosesSilentLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := serveSilentClient(t, newHello("current", "c"))
		kept := serveSilentClient(t, &wirev1.Hello{NodeId: "previous", Cluster: "c", Protocol: ProtocolVersion})
		time.Sleep(acceptedSilence + pingTimeout + 3*keepaliveInterval)
		is.Equal(len(lost), 1)
		is.Equal(<-lost, "current")
		is.Equal(len(kept), 0)
	})
}

// A link to a node of a version that does not reply to a PING must stay open, however long it
// is silent.
func TestLinksToEarlierVersionsAreNotProbed(t *testing.T) {
	for _, answersPing := range []bool{false, true} {
		is := is.New(t)
		own, peer := net.Pipe()
		l := newLink(own, &Counters{})
		l.peerAnswersPing.Store(answersPing)
		now := time.Unix(1000, 0)
		for range 100 {
			now = now.Add(keepaliveInterval)
			l.checkAlive(now, true)
		}
		is.Equal(l.queue.added, map[bool]uint64{false: 0, true: 1}[answersPing]) // one PING, which is never written
		l.close()
		_ = peer.Close()
	}
}
