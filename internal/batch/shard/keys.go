// Package shard implements the replicated state machine of a batch shard, which holds
// files, jobs, item results and idempotency claims. Commands come from the shard's
// replicated log. Replicas that apply the same commands in the same order have the same
// state and return the same results. The package reads no clock; all times are part of the
// commands. Nodes with a data folder run it (modules/batch/store).
package shard

import (
	"bytes"
	"encoding/binary"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// KeyReader reads the keys and values of one shard. Keys do not contain the shard's
// number.
type KeyReader interface {
	// Get returns a copy of the key's value, nil if the key does not exist.
	Get(key []byte) ([]byte, error)
	// Scan calls visit for the keys in [from, to) in ascending order until visit returns
	// false. The key and the value are valid only during the call of visit.
	Scan(from, to []byte, visit func(key, value []byte) bool) error
}

// KeyStore is a KeyReader that also collects writes. Its reads see the collected writes,
// which become durable together.
type KeyStore interface {
	KeyReader
	Set(key, value []byte) error
	Delete(key []byte) error
	DeleteRange(from, to []byte) error
}

// The first byte of a key identifies the type of the record. The comments list the rest
// of the key and the value.
const (
	prefixClaim          = 'c' // tenant, key → ClaimRecord
	prefixDigest         = 'd' // tenant, endpoint followed by the file's digest in hex → job id
	prefixFile           = 'f' // file id → FileRecord
	prefixIdempotencyKey = 'i' // tenant, idempotency key → job id
	prefixJob            = 'j' // job id → JobRecord
	prefixProgress       = 'p' // job id, segment → SegmentProgress
	prefixResult         = 'r' // job id, segment, offset → ItemResult
	prefixSegment        = 's' // file id, segment → AppendSegment
	prefixTenantJob      = 't' // tenant, job id → empty
	separator            = 0
)

// composeKey returns the prefix followed by the parts, each with a separator at its end.
func composeKey(prefix byte, parts ...string) []byte {
	key := []byte{prefix}
	for _, part := range parts {
		key = append(key, part...)
		key = append(key, separator)
	}
	return key
}

func fileKey(id string) []byte { return composeKey(prefixFile, id) }
func jobKey(id string) []byte  { return composeKey(prefixJob, id) }

func claimKey(tenant, key string) []byte { return composeKey(prefixClaim, tenant, key) }

func segmentKey(file string, segment uint32) []byte {
	return binary.BigEndian.AppendUint32(composeKey(prefixSegment, file), segment)
}

func progressKey(job string, segment uint32) []byte {
	return binary.BigEndian.AppendUint32(composeKey(prefixProgress, job), segment)
}

func resultKey(job string, segment, offset uint32) []byte {
	key := binary.BigEndian.AppendUint32(composeKey(prefixResult, job), segment)
	return binary.BigEndian.AppendUint32(key, offset)
}

// prefixEnd returns the smallest key that is greater than all keys with the prefix, nil if
// there is no such key.
func prefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return nil
}

// load decodes the value of a key into a message. It returns false if the key does not
// exist or cannot be read, and true with an error if the value cannot be decoded.
func load(reader KeyReader, key []byte, into proto.Message) (bool, error) {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return false, trace.Wrap(err)
	}
	return true, trace.Wrap(proto.Unmarshal(value, into), "decoding %q", key[:1])
}

func save(store KeyStore, key []byte, message proto.Message) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(store.Set(key, value))
}

// File returns the record of a file, nil if the file does not exist.
func File(reader KeyReader, id string) (*wirev1.FileRecord, error) {
	record := &wirev1.FileRecord{}
	found, err := load(reader, fileKey(id), record)
	if !found {
		return nil, err
	}
	return record, err
}

// Job returns the record of a job, nil if the job does not exist.
func Job(reader KeyReader, id string) (*wirev1.JobRecord, error) {
	record := &wirev1.JobRecord{}
	found, err := load(reader, jobKey(id), record)
	if !found {
		return nil, err
	}
	return record, err
}

// Segment returns the items of a file's segment, nil if the segment does not exist.
func Segment(reader KeyReader, file string, segment uint32) ([]*wirev1.Item, error) {
	stored := &wirev1.AppendSegment{}
	if _, err := load(reader, segmentKey(file, segment), stored); err != nil {
		return nil, err
	}
	return stored.Items, nil
}

// Progress returns which items of a job's segment are started and done. It returns an
// empty record, not nil, if none is stored.
func Progress(reader KeyReader, job string, segment uint32) (*wirev1.SegmentProgress, error) {
	progress := &wirev1.SegmentProgress{}
	_, err := load(reader, progressKey(job, segment), progress)
	return progress, err
}

// IdempotencyClaim returns the claim of an idempotency key, nil if the key is not claimed.
func IdempotencyClaim(reader KeyReader, tenant, key string) (*wirev1.ClaimRecord, error) {
	record := &wirev1.ClaimRecord{}
	found, err := load(reader, claimKey(tenant, key), record)
	if !found {
		return nil, err
	}
	return record, err
}

// bitSet reports whether bit i is set.
func bitSet(bits []byte, i uint32) bool {
	return int(i/8) < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

func setBit(bits []byte, i uint32) []byte {
	for int(i/8) >= len(bits) {
		bits = append(bits, 0)
	}
	bits[i/8] |= 1 << (i % 8)
	return bits
}

// IsDone reports whether the result of an item is stored.
func IsDone(progress *wirev1.SegmentProgress, offset uint32) bool {
	return bitSet(progress.Done, offset)
}

// IsStarted reports whether an item of class once was marked as started, which means that
// the item may have been dispatched.
func IsStarted(progress *wirev1.SegmentProgress, offset uint32) bool {
	return bitSet(progress.Started, offset)
}
