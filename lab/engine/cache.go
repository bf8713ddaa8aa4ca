package engine

import "container/list"

// prefixCache is a least-recently-used set of block hashes.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached, and marks them as recently
// used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, found := c.blocks[block]
		if !found {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// insert adds blocks and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if element, found := c.blocks[block]; found {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
}
