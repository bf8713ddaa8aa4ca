// Package bundle defines the bundle: the versioned configuration that operators
// sign and roll out to the plain nodes. A bundle is a set of documents. Each
// accepted version of the bundle is a generation, numbered from 1.
//
// The package contains the bundle's schema, validation and canonical form, the
// operators' signatures (sign-offs), the head, which records the accepted
// generation and the progress of its rollout, and the snapshot, the compiled form
// that request handlers read. The package does no I/O and has no state. Plain nodes
// and the operators' commands use it.
package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Kind is the kind of a document.
type Kind string

// Kinds of documents.
const (
	KindPolicy   Kind = "Policy"
	KindModel    Kind = "Model"
	KindTenant   Kind = "Tenant"
	KindOperator Kind = "Operator"
)

// Duration is a duration that YAML and JSON write as, for example, "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var written string
	if err := json.Unmarshal(text, &written); err != nil {
		return fmt.Errorf("found %s, allowed: a duration such as \"1.5s\"", text)
	}
	parsed, err := time.ParseDuration(written)
	if err != nil {
		return fmt.Errorf("found %q, allowed: a duration such as 1.5s or 250ms", written)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std converts the duration to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Policy holds the settings of the whole fleet. A bundle has exactly one.
type Policy struct {
	// SignOffThreshold is the number of operators who must sign the next
	// generation (default 1).
	SignOffThreshold int `json:"sign_off_threshold"`
	// RequestTimeout is the maximum duration of an online request. It also applies to
	// requests that set no timeout (default 60s).
	RequestTimeout Duration `json:"request_timeout"`
	// RetryBudget is the maximum fraction of online traffic that may be retries,
	// from 0 to 1 (default 0.1).
	RetryBudget float64 `json:"retry_budget"`
	// Stages lists, for each rollout stage, the zones that get the generation. The
	// last stage reaches the whole fleet, including zones that are in no stage.
	// Without stages, the first roll action next or all reaches the whole fleet.
	Stages [][]string `json:"stages,omitempty"`
	// Batch controls batch work.
	Batch BatchPolicy `json:"batch"`
	// DrainTimeout is how long streams may stay on a runner that leaves before they
	// are moved (default 30s).
	DrainTimeout Duration `json:"drain_timeout"`
}

// BatchPolicy controls batch work, which uses capacity that online requests leave
// idle.
type BatchPolicy struct {
	// Mode is "managed" (default: preemption and an adaptive concurrency limit),
	// "static" (batch work has static_slots of each runner for itself),
	// "priority_only" (batch work fills every slot and relies on the engine's
	// priorities) or "off".
	Mode string `json:"mode"`
	// StaticSlots is the number of slots of each runner for batch work in mode
	// static.
	StaticSlots int `json:"static_slots,omitempty"`
	// TailWeight, from 0 to 1, says how strongly a late online token reduces batch
	// work: values near 1 protect online tail latency, values near 0 favour batch
	// throughput (default 0.5).
	TailWeight float64 `json:"tail_weight"`
	// ReserveSlots is the number of slots of each runner that batch work leaves
	// free for bursts of online requests (default 1).
	ReserveSlots int `json:"reserve_slots"`
	// CompletionWindow is the maximum completion window of a job. It also applies to
	// jobs that set none (default 24h).
	CompletionWindow Duration `json:"completion_window"`
	// Retention is how long finished jobs, files and claims remain readable
	// (default 72h).
	Retention Duration `json:"retention"`
	// MaxAttempts is the maximum number of runs of a repeatable item that fails
	// (default 5).
	MaxAttempts int `json:"max_attempts"`
}

// Model is a served model.
type Model struct {
	// Version is the version of the model that its runners load.
	Version string `json:"version"`
	// Adapters lists the adapters that are loaded with the model. Callers request
	// an adapter by its name in place of a model name.
	Adapters []string `json:"adapters,omitempty"`
	// Service is the pool of runners that serve the model: the service label in the
	// runner list.
	Service string `json:"service"`
	// Slots is the number of sequences that a runner processes at once (default 16).
	Slots int `json:"slots"`
	// FirstTokenTarget is the 95th-percentile target for the time to first token of
	// online requests (default 1.6s).
	FirstTokenTarget Duration `json:"first_token_target"`
	// InterTokenTarget is the 95th-percentile target for the time between tokens of
	// online requests (default 36ms).
	InterTokenTarget Duration `json:"inter_token_target"`
	// MaxTokens is the maximum number of tokens in a response (default 1024).
	MaxTokens int `json:"max_tokens"`
}

// Tenant is a customer with its API keys and limits.
type Tenant struct {
	// KeyHashes lists the SHA-256 hashes, in hex, of the tenant's API keys.
	KeyHashes []string `json:"key_hashes"`
	// Models lists the models and adapters that the tenant may call; empty allows
	// all. A model in the list does not include its adapters.
	Models []string `json:"models,omitempty"`
	// HomeRegion is the region that stores the tenant's jobs and idempotency keys
	// (default: the first region with disks in alphabetical order).
	HomeRegion string `json:"home_region,omitempty"`
	// RequestsPerSecond is the maximum rate of online requests; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests accepted at once above the rate (default: the
	// requests of one second).
	Burst int `json:"burst,omitempty"`
	// Concurrent is the maximum number of online requests in flight; 0 means no
	// limit.
	Concurrent int `json:"concurrent,omitempty"`
	// TokensPerMinute is the maximum rate of generated tokens; 0 means no limit.
	TokensPerMinute int `json:"tokens_per_minute,omitempty"`
	// BatchPriority orders the jobs of different tenants, from 0 (lowest) to 9
	// (default 5).
	BatchPriority int `json:"batch_priority,omitempty"`
	// DefaultClass is the work class of requests that name none: "repeatable"
	// (default) or "once".
	DefaultClass string `json:"default_class,omitempty"`
}

// Operator is a person who may sign bundles.
type Operator struct {
	// PublicKey is the operator's Ed25519 public key in base64.
	PublicKey string `json:"public_key"`
}

// FieldError reports an invalid value of a field in the document with the given kind
// and name.
type FieldError struct {
	Kind    Kind
	Name    string
	Field   string
	Found   string
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s %q, %s: found %s, allowed: %s", e.Kind, e.Name, e.Field, e.Found, e.Allowed)
}

// Defaults of the fields.
const (
	defaultRequestTimeout   = Duration(60 * time.Second)
	defaultRetryBudget      = 0.1
	defaultTailWeight       = 0.5
	defaultReserveSlots     = 1
	defaultWindow           = Duration(24 * time.Hour)
	defaultRetention        = Duration(72 * time.Hour)
	defaultMaxAttempts      = 5
	defaultSlots            = 16
	defaultFirstTokenTarget = Duration(1600 * time.Millisecond)
	defaultInterTokenTarget = Duration(36 * time.Millisecond)
	defaultMaxTokens        = 1024
	defaultBatchPriority    = 5
	defaultDrainTimeout     = Duration(30 * time.Second)
)

// Batch modes in BatchPolicy.
const (
	BatchManaged      = "managed"
	BatchStatic       = "static"
	BatchPriorityOnly = "priority_only"
	BatchOff          = "off"
)

// Work classes in documents and request headers.
const (
	ClassRepeatable = "repeatable"
	ClassOnce       = "once"
)

func newPolicy() Policy {
	return Policy{
		SignOffThreshold: 1,
		RequestTimeout:   defaultRequestTimeout,
		RetryBudget:      defaultRetryBudget,
		DrainTimeout:     defaultDrainTimeout,
		Batch: BatchPolicy{
			Mode: BatchManaged, TailWeight: defaultTailWeight, ReserveSlots: defaultReserveSlots,
			CompletionWindow: defaultWindow, Retention: defaultRetention, MaxAttempts: defaultMaxAttempts,
		},
	}
}

func newModel() Model {
	return Model{
		Slots: defaultSlots, FirstTokenTarget: defaultFirstTokenTarget,
		InterTokenTarget: defaultInterTokenTarget, MaxTokens: defaultMaxTokens,
	}
}

func newTenant() Tenant {
	return Tenant{BatchPriority: defaultBatchPriority, DefaultClass: ClassRepeatable}
}

type fieldChecker struct {
	kind Kind
	name string
	err  error
}

func (c *fieldChecker) require(ok bool, field string, found any, allowed string) {
	if ok || c.err != nil {
		return
	}
	c.err = &FieldError{c.kind, c.name, field, fmt.Sprintf("%q", fmt.Sprint(found)), allowed}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameAllowed = "1 to 63 lower-case letters, digits, dots, dashes or underscores"

func (p *Policy) check(name string) error {
	c := &fieldChecker{kind: KindPolicy, name: name}
	c.require(p.SignOffThreshold >= 1 && p.SignOffThreshold <= 16, "sign_off_threshold", p.SignOffThreshold, "1 to 16")
	c.require(p.RequestTimeout > 0, "request_timeout", p.RequestTimeout.Std(), "more than 0s")
	c.require(p.RetryBudget >= 0 && p.RetryBudget <= 1, "retry_budget", p.RetryBudget, "0 to 1")
	c.require(p.DrainTimeout > 0, "drain_timeout", p.DrainTimeout.Std(), "more than 0s")
	validMode := p.Batch.Mode == BatchManaged || p.Batch.Mode == BatchStatic || p.Batch.Mode == BatchPriorityOnly || p.Batch.Mode == BatchOff
	c.require(validMode, "batch.mode", p.Batch.Mode, "managed, static, priority_only or off")
	c.require(p.Batch.StaticSlots >= 0, "batch.static_slots", p.Batch.StaticSlots, "0 or more")
	c.require(p.Batch.TailWeight >= 0 && p.Batch.TailWeight <= 1, "batch.tail_weight", p.Batch.TailWeight, "0 to 1")
	c.require(p.Batch.ReserveSlots >= 0, "batch.reserve_slots", p.Batch.ReserveSlots, "0 or more")
	c.require(p.Batch.CompletionWindow > 0, "batch.completion_window", p.Batch.CompletionWindow.Std(), "more than 0s")
	c.require(p.Batch.Retention > 0, "batch.retention", p.Batch.Retention.Std(), "more than 0s")
	c.require(p.Batch.MaxAttempts >= 1, "batch.max_attempts", p.Batch.MaxAttempts, "1 or more")
	for i, stage := range p.Stages {
		c.require(len(stage) > 0, fmt.Sprintf("stages[%d]", i), "no zone", "one zone or more")
	}
	return c.err
}

func (m *Model) check(name string) error {
	c := &fieldChecker{kind: KindModel, name: name}
	c.require(m.Version != "", "version", m.Version, "the version to load")
	c.require(m.Service != "", "service", m.Service, "the service label of the model's runners")
	c.require(m.Slots >= 1 && m.Slots <= 4096, "slots", m.Slots, "1 to 4096")
	c.require(m.FirstTokenTarget > 0, "first_token_target", m.FirstTokenTarget.Std(), "more than 0s")
	c.require(m.InterTokenTarget > 0, "inter_token_target", m.InterTokenTarget.Std(), "more than 0s")
	c.require(m.MaxTokens >= 1, "max_tokens", m.MaxTokens, "1 or more")
	for i, adapter := range m.Adapters {
		c.require(namePattern.MatchString(adapter), fmt.Sprintf("adapters[%d]", i), adapter, nameAllowed)
	}
	return c.err
}

func (t *Tenant) check(name string) error {
	c := &fieldChecker{kind: KindTenant, name: name}
	c.require(len(t.KeyHashes) > 0, "key_hashes", "none", "one SHA-256 hash in hex or more")
	for i, hash := range t.KeyHashes {
		decoded, err := hex.DecodeString(hash)
		c.require(err == nil && len(decoded) == 32, fmt.Sprintf("key_hashes[%d]", i), hash, "a SHA-256 hash of 64 hex digits")
	}
	c.require(t.RequestsPerSecond >= 0, "requests_per_second", t.RequestsPerSecond, "0 or more")
	c.require(t.Burst >= 0, "burst", t.Burst, "0 or more")
	c.require(t.Concurrent >= 0, "concurrent", t.Concurrent, "0 or more")
	c.require(t.TokensPerMinute >= 0, "tokens_per_minute", t.TokensPerMinute, "0 or more")
	c.require(t.BatchPriority >= 0 && t.BatchPriority <= 9, "batch_priority", t.BatchPriority, "0 to 9")
	c.require(t.DefaultClass == ClassRepeatable || t.DefaultClass == ClassOnce, "default_class", t.DefaultClass, "repeatable or once")
	return c.err
}

func (o *Operator) check(name string) error {
	c := &fieldChecker{kind: KindOperator, name: name}
	decoded, err := base64.StdEncoding.DecodeString(strings.TrimSpace(o.PublicKey))
	c.require(err == nil && len(decoded) == ed25519.PublicKeySize, "public_key", o.PublicKey, "an Ed25519 public key of 32 bytes in base64")
	return c.err
}

// Key returns the operator's decoded public key, or nil if it is not valid base64.
func (o *Operator) Key() ed25519.PublicKey {
	decoded, err := base64.StdEncoding.DecodeString(strings.TrimSpace(o.PublicKey))
	if err != nil {
		return nil
	}
	return decoded
}
