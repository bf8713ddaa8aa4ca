package rpc

import (
	"time"
)

// defaultIdleTimeout is the minimum time that an unused link is kept open. It is longer
// than the pauses between messages of nodes that communicate regularly, so that the links
// between such nodes stay open.
const defaultIdleTimeout = 15 * time.Second

// closeIdle closes the links that have no open streams and were not used within the idle
// timeout. It then calls dropIfIdle for each peer without an open link.
func (p *Pool) closeIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	for key, entry := range p.peers {
		l := entry.current.Load()
		switch {
		case l == nil, !l.alive(), l.closeIfIdle(p.idleTimeout):
			p.dropIfIdle(key, entry)
		}
	}
	p.idleCheck = nil
	if len(p.peers) > 0 {
		p.idleCheck = time.AfterFunc(p.idleTimeout/2, p.closeIdle)
	}
}

// dropIfIdle drops a peer that has no open link, unless it is being dialled or its last
// dial failed within dialBackoff. The caller holds the pool's mutex.
func (p *Pool) dropIfIdle(key peerKey, entry *peer) {
	if !entry.tryAcquire() {
		return
	}
	defer entry.release()
	if l := entry.current.Load(); l != nil && l.alive() {
		return // the peer was dialled after closeIdle checked its link
	}
	if time.Since(entry.dialFailedAt) >= dialBackoff {
		delete(p.peers, key)
	}
}

// closeIfIdle closes the link if it has no open streams and was not used within
// idleTimeout. It reports whether it closed the link.
func (l *clientLink) closeIfIdle(idleTimeout time.Duration) bool {
	l.mutex.Lock()
	idle := len(l.streams) == 0 && time.Since(processStart)-time.Duration(l.lastUsed.Load()) >= idleTimeout
	if idle {
		l.idleClosed = true
	}
	l.mutex.Unlock()
	if idle {
		l.link.close()
	}
	return idle
}
