package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
)

// CompiledModel is a model ready for the request path.
type CompiledModel struct {
	Name string
	Model
}

// CompiledTenant is a tenant ready for the request path.
type CompiledTenant struct {
	Name string
	Tenant
	allowed map[string]bool
}

// MayCall reports whether the tenant may call the model.
func (t *CompiledTenant) MayCall(model string) bool {
	return len(t.allowed) == 0 || t.allowed[model]
}

// Snapshot is an immutable compiled bundle. Request handlers load it once per
// request through an atomic pointer and never see two generations.
type Snapshot struct {
	Generation uint64
	Digest     string
	Policy     Policy
	// Models by name, adapters included under their own names.
	Models    map[string]*CompiledModel
	Tenants   map[string]*CompiledTenant
	Operators map[string]*Operator

	tenantByKey map[Hash]*CompiledTenant
	documents   map[Key]entry
}

// entry keeps a document with its compiled value, so that a new snapshot
// decodes only what changed.
type entry struct {
	document Document
	hash     Hash
	value    any
}

// Compile checks documents and builds a snapshot.
func Compile(generation uint64, documents []Document) (*Snapshot, error) {
	return (&Snapshot{}).Next(generation, documents, nil)
}

// Next builds the snapshot that follows this one when the given documents are
// put and the given keys removed. Documents not named stay.
func (s *Snapshot) Next(generation uint64, changed []Document, removed []Key) (*Snapshot, error) {
	entries := make(map[Key]entry, len(s.documents)+len(changed))
	for key, known := range s.documents {
		entries[key] = known
	}
	for _, key := range removed {
		delete(entries, key)
	}
	for _, document := range changed {
		compiled, err := compileEntry(document)
		if err != nil {
			return nil, err
		}
		entries[document.Key()] = compiled
	}
	return build(generation, entries)
}

func compileEntry(document Document) (entry, error) {
	if !namePattern.MatchString(document.Name) {
		return entry{}, &FieldError{document.Kind, document.Name, "name", fmt.Sprintf("%q", document.Name), nameAllowed}
	}
	value, err := decodeSpec(document.Kind, document.Name, document.Content)
	if err != nil {
		return entry{}, err
	}
	return entry{document: document, hash: document.Hash(), value: compileValue(document.Name, value)}, nil
}

func compileValue(name string, value any) any {
	switch spec := value.(type) {
	case *Model:
		return &CompiledModel{Name: name, Model: *spec}
	case *Tenant:
		tenant := &CompiledTenant{Name: name, Tenant: *spec, allowed: map[string]bool{}}
		for _, model := range spec.Models {
			tenant.allowed[model] = true
		}
		return tenant
	default:
		return value
	}
}

func build(generation uint64, entries map[Key]entry) (*Snapshot, error) {
	s := &Snapshot{
		Generation: generation, documents: entries,
		Models: map[string]*CompiledModel{}, Tenants: make(map[string]*CompiledTenant, len(entries)),
		Operators: map[string]*Operator{}, tenantByKey: make(map[Hash]*CompiledTenant, len(entries)),
	}
	hashes := make([]Hash, 0, len(entries))
	policies := 0
	for key, known := range entries {
		hashes = append(hashes, known.hash)
		switch value := known.value.(type) {
		case *Policy:
			s.Policy = *value
			policies++
		case *CompiledModel:
			s.Models[key.Name] = value
		case *CompiledTenant:
			s.Tenants[key.Name] = value
		case *Operator:
			s.Operators[key.Name] = value
		}
	}
	if policies != 1 {
		return nil, fmt.Errorf("found %d Policy documents, allowed: exactly one", policies)
	}
	s.Digest = digestOf(hashes)
	return s, s.link()
}

// link checks what spans documents and builds the indexes.
func (s *Snapshot) link() error {
	if len(s.Operators) < s.Policy.SignOffThreshold {
		return fmt.Errorf("Policy sign_off_threshold is %d but %d operators are named", s.Policy.SignOffThreshold, len(s.Operators))
	}
	if err := s.linkAdapters(); err != nil {
		return err
	}
	for name, tenant := range s.Tenants {
		if err := s.linkTenant(name, tenant); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) linkAdapters() error {
	names := make([]string, 0, len(s.Models))
	for name := range s.Models {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, adapter := range s.Models[name].Adapters {
			if _, taken := s.Models[adapter]; taken {
				return &FieldError{KindModel, name, "adapters", fmt.Sprintf("%q", adapter), "a name no other model or adapter has"}
			}
			compiled := *s.Models[name]
			s.Models[adapter] = &compiled
		}
	}
	return nil
}

func (s *Snapshot) linkTenant(name string, tenant *CompiledTenant) error {
	for model := range tenant.allowed {
		if _, known := s.Models[model]; !known {
			return &FieldError{KindTenant, name, "models", fmt.Sprintf("%q", model), "a model of this bundle"}
		}
	}
	for i, text := range tenant.KeyHashes {
		decoded, err := hex.DecodeString(text)
		if err != nil {
			return &FieldError{KindTenant, name, "key_hashes", text, "hex"}
		}
		hash := Hash(decoded)
		if other, taken := s.tenantByKey[hash]; taken && other != tenant {
			return &FieldError{KindTenant, name, fmt.Sprintf("key_hashes[%d]", i), "the key of tenant " + other.Name, "a key no other tenant has"}
		}
		s.tenantByKey[hash] = tenant
	}
	return nil
}

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// TenantByKey finds the tenant of an API key.
func (s *Snapshot) TenantByKey(key string) (*CompiledTenant, bool) {
	tenant, found := s.tenantByKey[HashKey(key)]
	return tenant, found
}

// Documents returns all documents in order.
func (s *Snapshot) Documents() []Document {
	documents := make([]Document, 0, len(s.documents))
	for _, known := range s.documents {
		documents = append(documents, known.document)
	}
	Sort(documents)
	return documents
}

// Delta is the stored difference between two generations.
type Delta struct {
	Generation uint64     `json:"generation"`
	Digest     string     `json:"digest"`
	Full       bool       `json:"full,omitempty"`
	Changed    []Document `json:"changed"`
	Removed    []Key      `json:"removed,omitempty"`
	SignOffs   []SignOff  `json:"sign_offs,omitempty"`
}

// DeltaFrom returns what leads from an older snapshot (nil: nothing) to this.
func (s *Snapshot) DeltaFrom(older *Snapshot) *Delta {
	delta := &Delta{Generation: s.Generation, Digest: s.Digest, Full: older == nil}
	if older == nil {
		delta.Changed = s.Documents()
		return delta
	}
	for key, known := range s.documents {
		if before, had := older.documents[key]; !had || before.hash != known.hash {
			delta.Changed = append(delta.Changed, known.document)
		}
	}
	for key := range older.documents {
		if _, still := s.documents[key]; !still {
			delta.Removed = append(delta.Removed, key)
		}
	}
	Sort(delta.Changed)
	sort.Slice(delta.Removed, func(i, j int) bool { return delta.Removed[i].String() < delta.Removed[j].String() })
	return delta
}

// Apply builds the snapshot a delta leads to and checks its digest.
func (s *Snapshot) Apply(delta *Delta) (*Snapshot, error) {
	base := s
	if delta.Full || base == nil {
		base = &Snapshot{}
	}
	next, err := base.Next(delta.Generation, delta.Changed, delta.Removed)
	if err != nil {
		return nil, err
	}
	if next.Digest != delta.Digest {
		return nil, fmt.Errorf("generation %d: content has digest %s, head says %s", delta.Generation, next.Digest, delta.Digest)
	}
	return next, nil
}

// Encode returns the stored form of the delta.
func (d *Delta) Encode() ([]byte, error) { return json.Marshal(d) }

// DecodeDelta decodes a stored delta.
func DecodeDelta(text []byte) (*Delta, error) {
	var delta Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		return nil, fmt.Errorf("decoding bundle delta: %w", err)
	}
	return &delta, nil
}
