// Package engine emulates a model engine with the OpenAI HTTP API, as plain nodes
// use it; package standin emulates the runners of the users' platform, which have
// another protocol. The engine does continuous batching and chunked prefill, schedules
// by priority, has a bounded prefix cache, resumes and cancels streams, rejects orders
// with an outdated fence, and injects faults. docs/LAB.md documents the emulation.
//
// The generated text is a pure function of the prompt, so a client can verify each
// response by itself.
package engine

import "time"

// Parameters configures an emulated engine. Fields that are zero get their defaults.
type Parameters struct {
	// Slots is the largest number of sequences in the batch (default 16).
	Slots int `yaml:"slots"`
	// StepBase is the duration of a step without prefill and decoding (default 8ms).
	StepBase time.Duration `yaml:"step_base"`
	// StepPerSequence is added for each decoding sequence (default 0.4ms).
	StepPerSequence time.Duration `yaml:"step_per_sequence"`
	// StepPerPrefillToken is added for each prompt token prefilled (default 30µs).
	StepPerPrefillToken time.Duration `yaml:"step_per_prefill_token"`
	// ChunkTokens bounds the prompt tokens prefilled in one step (default 256).
	ChunkTokens int `yaml:"chunk_tokens"`
	// QueueLimit is the largest number of queued requests; further ones are rejected
	// (default 256).
	QueueLimit int `yaml:"queue_limit"`
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens
	// (default 512).
	CacheBlocks int `yaml:"cache_blocks"`
	// ReaderTimeout is the time after which a sequence is cancelled once its last
	// reader has disconnected (default 2s).
	ReaderTimeout time.Duration `yaml:"orphan_grace"`
	// FinishedRetention is how long an ended stream is kept so that it can be resumed
	// (default 30s).
	FinishedRetention time.Duration `yaml:"keep_finished"`
	// MaxAnswerTokens is the largest number of tokens in a response without a token
	// limit (default 512).
	MaxAnswerTokens int `yaml:"max_answer"`
	// WeightBytes is the size of a model's weights (default 64 MiB).
	WeightBytes int64 `yaml:"weight_bytes"`
	// WeightStore is the base URL of the weight store; if it is empty, models load at
	// once.
	WeightStore string `yaml:"weight_store"`
	// LoadLag, EventLag, EventLoss and Seed have no effect; they are accepted so that
	// scenario files that set them still load.
	LoadLag   time.Duration `yaml:"load_lag"`
	EventLag  time.Duration `yaml:"event_lag"`
	EventLoss float64       `yaml:"event_loss"`
	Seed      uint64        `yaml:"seed"`
}

func (p *Parameters) applyDefaults() {
	setDefault(&p.Slots, 16)
	setDefault(&p.StepBase, 8*time.Millisecond)
	setDefault(&p.StepPerSequence, 400*time.Microsecond)
	setDefault(&p.StepPerPrefillToken, 30*time.Microsecond)
	setDefault(&p.ChunkTokens, 256)
	setDefault(&p.QueueLimit, 256)
	setDefault(&p.CacheBlocks, 512)
	setDefault(&p.ReaderTimeout, 2*time.Second)
	setDefault(&p.FinishedRetention, 30*time.Second)
	setDefault(&p.MaxAnswerTokens, 512)
	setDefault(&p.WeightBytes, 64<<20)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
