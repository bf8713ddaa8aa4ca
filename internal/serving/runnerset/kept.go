package runnerset

import "time"

// prefixCache models the prefix cache of a runner as an LRU cache of prompt parts with a
// bounded number of tokens. A part is a hit only if every part before it is a hit too.
type prefixCache struct {
	// tokens is the sum of the tokens of parts, whose keys are PromptPart.ID.
	tokens int
	parts  map[uint64]cachedPart
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

const (
	// maxCachedTokens is the assumed capacity of a runner's prefix cache, without the
	// memory for running requests.
	maxCachedTokens = 60_000
	// minPartTokens is the size of the smallest part that is tracked. A smaller part,
	// and every part after it, counts as uncached.
	minPartTokens = 48
)

// uncached returns how many tokens of a prompt the runner has to process, at least 1.
func (k *prefixCache) uncached(prompt Prompt) int {
	uncached := prompt.Tokens
	for _, part := range prompt.SharedParts {
		if _, cached := k.parts[part.ID]; !cached {
			break
		}
		uncached -= part.Tokens
	}
	return max(1, uncached)
}

// touch records that a prompt with these leading parts was sent.
func (k *prefixCache) touch(shared []PromptPart, now time.Time) {
	if len(shared) == 0 {
		return
	}
	if k.parts == nil {
		k.parts = map[uint64]cachedPart{}
	}
	for _, part := range shared {
		if part.Tokens < minPartTokens {
			continue
		}
		if _, known := k.parts[part.ID]; !known {
			k.tokens += part.Tokens
		}
		k.parts[part.ID] = cachedPart{part.Tokens, now}
	}
	k.evict()
}

// evict removes the least recently used parts until the cache is within its capacity or
// has only one part.
func (k *prefixCache) evict() {
	for k.tokens > maxCachedTokens && len(k.parts) > 1 {
		var oldest uint64
		var at time.Time
		for id, part := range k.parts {
			if at.IsZero() || part.lastUsed.Before(at) {
				oldest, at = id, part.lastUsed
			}
		}
		k.tokens -= k.parts[oldest].tokens
		delete(k.parts, oldest)
	}
}
