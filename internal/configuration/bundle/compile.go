package bundle

import (
	"encoding/hex"
	"fmt"
	"sort"
)

// Compile validates documents and builds a snapshot. It returns a *FieldError for an
// invalid field or for a reference to a model that does not exist, and other errors
// for content that cannot be decoded or for documents that do not fit together.
func Compile(generation uint64, documents []Document) (*Snapshot, error) {
	return newEmptySnapshot().Next(generation, documents, nil)
}

// Next builds the snapshot of the given generation from this one: it removes the
// documents with the removed keys, adds or replaces the changed documents, and keeps
// all others. It returns the same errors as Compile.
func (s *Snapshot) Next(generation uint64, changed []Document, removed []Key) (*Snapshot, error) {
	b := &builder{
		documents: s.documents.edit(), keys: s.tenantByKey.edit(), changedBuckets: map[uint8]bool{},
		next: &Snapshot{Generation: generation, Policy: s.Policy, policies: s.policies, digests: s.digests, Models: s.Models, Operators: s.Operators},
	}
	for _, key := range removed {
		b.remove(key)
	}
	added := make([]compiledDocument, 0, len(changed))
	for _, document := range changed {
		compiled, err := compileDocument(document)
		if err != nil {
			return nil, err
		}
		b.remove(document.Key())
		added = append(added, compiled)
	}
	for _, compiled := range added {
		if err := b.put(compiled); err != nil {
			return nil, err
		}
	}
	return b.finish()
}

func compileDocument(document Document) (compiledDocument, error) {
	if !namePattern.MatchString(document.Name) {
		return compiledDocument{}, &FieldError{document.Kind, document.Name, "name", fmt.Sprintf("%q", document.Name), nameAllowed}
	}
	value, err := decodeSpec(document.Kind, document.Name, document.Content)
	if err != nil {
		return compiledDocument{}, err
	}
	return compiledDocument{document: document, hash: document.Hash(), value: compileValue(document.Name, value)}, nil
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

// builder builds a snapshot from the previous one.
type builder struct {
	next           *Snapshot
	documents      *bucketEditor[Key, compiledDocument]
	keys           *bucketEditor[Hash, *CompiledTenant]
	changedBuckets map[uint8]bool
	// uncheckedTenants lists the changed tenants; finish checks their references to
	// models. reindex is set when a model or an operator has changed; finish then
	// rebuilds the indexes and checks the references of all tenants.
	uncheckedTenants []*CompiledTenant
	reindex          bool
}

func (b *builder) remove(key Key) {
	old, found := b.documents.result.get(key)
	if !found {
		return
	}
	b.documents.remove(key)
	b.changedBuckets[bucketOfKey(key)] = true
	switch value := old.value.(type) {
	case *CompiledTenant:
		for _, hash := range keyHashes(value) {
			b.keys.remove(hash)
		}
	case *Policy:
		b.next.policies--
	default:
		b.reindex = true
	}
}

func (b *builder) put(added compiledDocument) error {
	key := added.document.Key()
	b.documents.set(key, added)
	b.changedBuckets[bucketOfKey(key)] = true
	switch value := added.value.(type) {
	case *CompiledTenant:
		b.uncheckedTenants = append(b.uncheckedTenants, value)
		return b.putKeys(value)
	case *Policy:
		b.next.policies++
		b.next.Policy = *value
	default:
		b.reindex = true
	}
	return nil
}

func (b *builder) putKeys(tenant *CompiledTenant) error {
	for i, hash := range keyHashes(tenant) {
		if other, taken := b.keys.result.get(hash); taken && other != tenant {
			return &FieldError{KindTenant, tenant.Name, fmt.Sprintf("key_hashes[%d]", i), "the key of tenant " + other.Name, "a key no other tenant has"}
		}
		b.keys.set(hash, tenant)
	}
	return nil
}

// keyHashes returns a tenant's decoded key hashes.
func keyHashes(tenant *CompiledTenant) []Hash {
	hashes := make([]Hash, 0, len(tenant.KeyHashes))
	for _, text := range tenant.KeyHashes {
		if decoded, err := hex.DecodeString(text); err == nil && len(decoded) == len(Hash{}) {
			hashes = append(hashes, Hash(decoded))
		}
	}
	return hashes
}

func (b *builder) finish() (*Snapshot, error) {
	s := b.next
	s.documents, s.tenantByKey = b.documents.result, b.keys.result
	if s.policies != 1 {
		return nil, fmt.Errorf("found %d Policy documents, allowed: exactly one", s.policies)
	}
	if b.reindex || s.Models == nil {
		if err := s.indexModels(); err != nil {
			return nil, err
		}
		b.uncheckedTenants = s.allTenants()
	}
	if len(s.Operators) < s.Policy.SignOffThreshold {
		return nil, fmt.Errorf("Policy sign_off_threshold is %d but %d operators are named", s.Policy.SignOffThreshold, len(s.Operators))
	}
	for _, tenant := range b.uncheckedTenants {
		if err := s.checkTenant(tenant); err != nil {
			return nil, err
		}
	}
	for bucket := range b.changedBuckets {
		s.digests[bucket] = digestBucket(s.documents.buckets[bucket])
	}
	s.Digest = combineDigests(&s.digests)
	return s, nil
}

// indexModels rebuilds the indexes of models, adapters and operators. It visits every
// document, so finish calls it only when a model or an operator has changed or the
// indexes do not exist yet.
func (s *Snapshot) indexModels() error {
	s.Models = map[string]*CompiledModel{}
	s.Operators = map[string]*Operator{}
	var names []string
	s.documents.forEach(func(key Key, compiled compiledDocument) {
		switch value := compiled.value.(type) {
		case *CompiledModel:
			s.Models[key.Name] = value
			names = append(names, key.Name)
		case *Operator:
			s.Operators[key.Name] = value
		}
	})
	sort.Strings(names)
	for _, name := range names {
		if err := s.indexAdapters(s.Models[name]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) indexAdapters(model *CompiledModel) error {
	for _, adapter := range model.Adapters {
		if _, taken := s.Models[adapter]; taken {
			return &FieldError{KindModel, model.Name, "adapters", fmt.Sprintf("%q", adapter), "a name no other model or adapter has"}
		}
		s.Models[adapter] = model
	}
	return nil
}

func (s *Snapshot) allTenants() []*CompiledTenant {
	var tenants []*CompiledTenant
	s.documents.forEach(func(_ Key, compiled compiledDocument) {
		if tenant, ok := compiled.value.(*CompiledTenant); ok {
			tenants = append(tenants, tenant)
		}
	})
	return tenants
}

func (s *Snapshot) checkTenant(tenant *CompiledTenant) error {
	for model := range tenant.allowed {
		if _, known := s.Models[model]; !known {
			return &FieldError{KindTenant, tenant.Name, "models", fmt.Sprintf("%q", model), "a model of this bundle"}
		}
	}
	return nil
}
