// Package engine emulates a model engine that a plain node serves, over the
// OpenAI HTTP API. The runners of the users' platform speak another protocol;
// package standin stands for them. The engine batches continuously, prefills in
// chunks, honours priorities, keeps a limited prefix cache, resumes and cancels
// streams, obeys fenced orders, and fails on request. docs/LAB.md documents the
// model.
//
// The text an engine generates is a pure function of the prompt, so a client
// can check every answer without asking anyone.
package engine

import "time"

// Parameters shape an emulated engine. Zero fields take the defaults.
type Parameters struct {
	// Slots is the number of sequences decoded in one step (default 16).
	Slots int `yaml:"slots"`
	// StepBase is the time of a step with no work in it (default 8ms).
	StepBase time.Duration `yaml:"step_base"`
	// StepPerSequence is added for each decoding sequence (default 0.4ms).
	StepPerSequence time.Duration `yaml:"step_per_sequence"`
	// StepPerPrefillToken is added for each prompt token prefilled (default 30µs).
	StepPerPrefillToken time.Duration `yaml:"step_per_prefill_token"`
	// ChunkTokens bounds the prompt tokens prefilled in one step (default 256).
	ChunkTokens int `yaml:"chunk_tokens"`
	// QueueLimit: requests beyond this many waiting are refused (default 256).
	QueueLimit int `yaml:"queue_limit"`
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens
	// (default 512).
	CacheBlocks int `yaml:"cache_blocks"`
	// ReaderGrace is how long a stream without a reader goes on (default 2s).
	ReaderGrace time.Duration `yaml:"orphan_grace"`
	// KeepFinished is how long a finished stream can be resumed (default 30s).
	KeepFinished time.Duration `yaml:"keep_finished"`
	// MaxAnswerTokens bounds the natural length of an answer in tokens (default 512).
	MaxAnswerTokens int `yaml:"max_answer"`
	// WeightBytes is the size of a model's weights (default 64 MiB).
	WeightBytes int64 `yaml:"weight_bytes"`
	// WeightStore is the base URL weights are read from; empty loads at once.
	WeightStore string `yaml:"weight_store"`
	// LoadLag, EventLag, EventLoss and Seed are accepted and without effect, so
	// that scenario files that carry them still load.
	LoadLag   time.Duration `yaml:"load_lag"`
	EventLag  time.Duration `yaml:"event_lag"`
	EventLoss float64       `yaml:"event_loss"`
	Seed      uint64        `yaml:"seed"`
}

func (p *Parameters) complete() {
	setDefault(&p.Slots, 16)
	setDefault(&p.StepBase, 8*time.Millisecond)
	setDefault(&p.StepPerSequence, 400*time.Microsecond)
	setDefault(&p.StepPerPrefillToken, 30*time.Microsecond)
	setDefault(&p.ChunkTokens, 256)
	setDefault(&p.QueueLimit, 256)
	setDefault(&p.CacheBlocks, 512)
	setDefault(&p.ReaderGrace, 2*time.Second)
	setDefault(&p.KeepFinished, 30*time.Second)
	setDefault(&p.MaxAnswerTokens, 512)
	setDefault(&p.WeightBytes, 64<<20)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
