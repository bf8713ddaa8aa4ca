package bundle

import (
	"crypto/sha256"
)

// CompiledModel is a model with its name.
type CompiledModel struct {
	Name string
	Model
}

// CompiledTenant is a tenant with its name and an index of the models that it may
// call.
type CompiledTenant struct {
	Name string
	Tenant
	allowed map[string]bool
}

// MayCall reports whether the tenant may call the model or adapter with the given
// name. A tenant that lists no models may call all of them.
func (t *CompiledTenant) MayCall(model string) bool {
	return len(t.allowed) == 0 || t.allowed[model]
}

// Snapshot is an immutable compiled bundle. A request handler loads it once per
// request, so that a request never sees two generations. Successive snapshots
// share unchanged data.
type Snapshot struct {
	Generation uint64
	Digest     string
	Policy     Policy
	// Models holds the models by their names and by the names of their adapters.
	Models map[string]*CompiledModel
	// Operators holds the operators by name.
	Operators map[string]*Operator

	policies    int
	documents   *bucketMap[Key, compiledDocument]
	tenantByKey *bucketMap[Hash, *CompiledTenant]
	digests     [bucketCount]Hash
}

// compiledDocument is a document with its hash and its compiled value. Snapshots
// share it, so that a new snapshot decodes only changed documents.
type compiledDocument struct {
	document Document
	hash     Hash
	value    any
}

func bucketOfKey(key Key) uint8 {
	hash := sha256.Sum256([]byte(key.String()))
	return hash[0]
}

func bucketOfHash(hash Hash) uint8 { return hash[0] }

func newEmptySnapshot() *Snapshot {
	s := &Snapshot{documents: newBucketMap[Key, compiledDocument](bucketOfKey), tenantByKey: newBucketMap[Hash, *CompiledTenant](bucketOfHash)}
	for bucket := range s.digests {
		s.digests[bucket] = digestBucket(nil)
	}
	return s
}

// HashKey returns the hash of an API key, which the bundle contains in place of the
// key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// TenantByKey returns the tenant that has the API key, and whether there is one.
func (s *Snapshot) TenantByKey(key string) (*CompiledTenant, bool) {
	return s.tenantByKey.get(HashKey(key))
}

// Tenants returns the number of tenants.
func (s *Snapshot) Tenants() int { return len(s.allTenants()) }

// Documents returns all documents, sorted by kind and name.
func (s *Snapshot) Documents() []Document {
	documents := make([]Document, 0, s.documents.size)
	s.documents.forEach(func(_ Key, compiled compiledDocument) { documents = append(documents, compiled.document) })
	Sort(documents)
	return documents
}
