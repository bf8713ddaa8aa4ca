package peers

import (
	"slices"
	"sync"
)

const (
	// partnerCount is the number of nodes with which a node of a large fleet exchanges
	// records in turn.
	partnerCount = 4
	// callsPerReplacement is the number of calls of next after which the oldest partner is
	// replaced, so that no group of nodes stays isolated.
	callsPerReplacement = 20
)

// partners holds the addresses of the nodes with which this node exchanges records in a
// large fleet.
type partners struct {
	mutex     sync.Mutex
	addresses []string // oldest partner first
	turn      int      // number of calls of next
}

// next returns the address of the partner to call next, or "" if no other node of this
// node's zone is known.
func (p *partners) next(directory *Directory) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.turn++
	if len(p.addresses) > 0 && p.turn%callsPerReplacement == 0 {
		p.addresses = p.addresses[1:]
	}
	if len(p.addresses) < partnerCount {
		p.fill(directory)
	}
	if len(p.addresses) == 0 {
		return ""
	}
	return p.addresses[p.turn%len(p.addresses)]
}

// fill adds random nodes until there are partnerCount partners or no more candidates. The
// caller holds the mutex.
func (p *partners) fill(directory *Directory) {
	for _, record := range directory.RandomPartners(2 * partnerCount) {
		if len(p.addresses) == partnerCount {
			return
		}
		if !slices.Contains(p.addresses, record.Address) {
			p.addresses = append(p.addresses, record.Address)
		}
	}
}

// remove deletes the partner at an address, if there is one.
func (p *partners) remove(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.addresses = slices.DeleteFunc(slices.Clone(p.addresses), func(known string) bool { return known == address })
}
