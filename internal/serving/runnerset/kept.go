package runnerset

import "time"

// keptParts models which parts of prompts a runner keeps in its memory: those
// used last, up to a bound. A part counts only if every part before it is kept as
// well.
type keptParts struct {
	tokens int
	parts  map[uint64]keptPart
}

type keptPart struct {
	tokens int
	used   time.Time
}

const (
	// maxKeptTokens is how many tokens of parts a runner's memory is taken to hold
	// beside what runs there.
	maxKeptTokens = 60_000
	// minPartTokens is the size of the smallest part worth remembering.
	minPartTokens = 48
)

// missing returns how many tokens of a prompt have to be read.
func (k *keptParts) missing(prompt Prompt) int {
	missing := prompt.Tokens
	for _, part := range prompt.SharedParts {
		if _, kept := k.parts[part.ID]; !kept {
			break
		}
		missing -= part.Tokens
	}
	return max(1, missing)
}

// touch records that a prompt that begins with these parts was sent.
func (k *keptParts) touch(shared []PromptPart, now time.Time) {
	if len(shared) == 0 {
		return
	}
	if k.parts == nil {
		k.parts = map[uint64]keptPart{}
	}
	for _, part := range shared {
		if part.Tokens < minPartTokens {
			continue
		}
		if _, known := k.parts[part.ID]; !known {
			k.tokens += part.Tokens
		}
		k.parts[part.ID] = keptPart{part.Tokens, now}
	}
	k.evict()
}

func (k *keptParts) evict() {
	for k.tokens > maxKeptTokens && len(k.parts) > 1 {
		var oldest uint64
		var at time.Time
		for id, part := range k.parts {
			if at.IsZero() || part.used.Before(at) {
				oldest, at = id, part.used
			}
		}
		k.tokens -= k.parts[oldest].tokens
		delete(k.parts, oldest)
	}
}
