package platform

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// Target is an entry of the machine or runner list.
type Target struct {
	Address string
	Labels  map[string]string
}

// listEntry is a target with the period in which the list contains it.
type listEntry struct {
	target Target
	from   time.Time
	until  time.Time // zero: no end
}

// SetMachine adds or replaces a machine in the list of machines, which shows the change
// after ListLag.
func (p *Platform) SetMachine(target Target) { p.set(&p.machines, target) }

// SetRunner adds or replaces a runner in the list of runners, which shows the change
// after ListLag.
func (p *Platform) SetRunner(target Target) { p.set(&p.runners, target) }

// RemoveMachine removes a machine from the list of machines after ListLag.
func (p *Platform) RemoveMachine(address string) { p.remove(&p.machines, address) }

func (p *Platform) set(list *[]listEntry, target Target) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.endEntries(*list, target.Address, now.Add(p.listLag))
	*list = append(*list, listEntry{target: target, from: now.Add(p.listLag)})
}

func (p *Platform) remove(list *[]listEntry, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.endEntries(*list, address, time.Now().Add(p.listLag))
}

// endEntries sets the end of the open entries of an address.
func (p *Platform) endEntries(list []listEntry, address string, at time.Time) {
	for i := range list {
		if list[i].target.Address == address && list[i].until.IsZero() {
			list[i].until = at
		}
	}
}

// targetGroup is an entry of a list in the format of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (p *Platform) serveList(c fiber.Ctx, entries *[]listEntry) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.down {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	now := time.Now()
	groups := []targetGroup{}
	for _, item := range *entries {
		shown := !now.Before(item.from) && (item.until.IsZero() || now.Before(item.until))
		if shown {
			groups = append(groups, targetGroup{[]string{item.target.Address}, item.target.Labels})
		}
	}
	return c.JSON(groups)
}
