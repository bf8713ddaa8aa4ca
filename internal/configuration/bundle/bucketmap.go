package bundle

// bucketCount is the number of buckets into which a bundle's documents and API keys
// are divided. A new generation copies and hashes only the buckets with changes.
const bucketCount = 256

// bucketMap is an immutable map that is split into buckets. An edited copy shares the
// unchanged buckets with the original.
type bucketMap[K comparable, V any] struct {
	bucketOf func(K) uint8
	buckets  [bucketCount]map[K]V
	size     int
}

func newBucketMap[K comparable, V any](bucketOf func(K) uint8) *bucketMap[K, V] {
	return &bucketMap[K, V]{bucketOf: bucketOf}
}

func (m *bucketMap[K, V]) get(key K) (V, bool) {
	value, found := m.buckets[m.bucketOf(key)][key]
	return value, found
}

func (m *bucketMap[K, V]) forEach(visit func(K, V)) {
	for _, bucket := range m.buckets {
		for key, value := range bucket {
			visit(key, value)
		}
	}
}

// edit returns an editor of a copy of the map.
func (m *bucketMap[K, V]) edit() *bucketEditor[K, V] {
	copied := *m
	return &bucketEditor[K, V]{result: &copied}
}

// bucketEditor edits a copy of a bucketMap. It copies a bucket before the first change
// of the bucket. The editor must not be used after its result has been shared.
type bucketEditor[K comparable, V any] struct {
	result   *bucketMap[K, V]
	writable [bucketCount]bool
}

func (e *bucketEditor[K, V]) writableBucket(key K) map[K]V {
	at := e.result.bucketOf(key)
	if !e.writable[at] {
		copied := make(map[K]V, len(e.result.buckets[at])+1)
		for existingKey, value := range e.result.buckets[at] {
			copied[existingKey] = value
		}
		e.result.buckets[at] = copied
		e.writable[at] = true
	}
	return e.result.buckets[at]
}

func (e *bucketEditor[K, V]) set(key K, value V) {
	bucket := e.writableBucket(key)
	if _, exists := bucket[key]; !exists {
		e.result.size++
	}
	bucket[key] = value
}

func (e *bucketEditor[K, V]) remove(key K) {
	bucket := e.writableBucket(key)
	if _, exists := bucket[key]; exists {
		e.result.size--
	}
	delete(bucket, key)
}
