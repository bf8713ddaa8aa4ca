package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sort"
)

// digestBucket returns the SHA-256 hash of the sorted hashes of a bucket's
// documents.
func digestBucket(bucket map[Key]compiledDocument) Hash {
	hashes := make([]Hash, 0, len(bucket))
	for _, compiled := range bucket {
		hashes = append(hashes, compiled.hash)
	}
	sort.Slice(hashes, func(i, j int) bool { return bytes.Compare(hashes[i][:], hashes[j][:]) < 0 })
	digest := sha256.New()
	for _, hash := range hashes {
		_, _ = digest.Write(hash[:])
	}
	return Hash(digest.Sum(nil))
}

// combineDigests returns the digest of a bundle's content, which operators sign: the
// SHA-256 hash, in hex, of the digests of its buckets.
func combineDigests(digests *[bucketCount]Hash) string {
	digest := sha256.New()
	for i := range digests {
		_, _ = digest.Write(digests[i][:])
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Digest returns the digest of documents without validating them. For valid documents
// it equals Snapshot.Digest.
func Digest(documents []Document) string {
	s := newEmptySnapshot()
	editor := s.documents.edit()
	for _, document := range documents {
		editor.set(document.Key(), compiledDocument{hash: document.Hash()})
	}
	for bucket, content := range editor.result.buckets {
		s.digests[bucket] = digestBucket(content)
	}
	return combineDigests(&s.digests)
}
