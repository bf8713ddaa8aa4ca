package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's content (RequestContent). Unlike the request's
// id, it is the same for each retry by the caller.
type Fingerprint uint64

// RequestContent is the part of a request that its fingerprint covers.
type RequestContent struct {
	// Tenant is the request's tenant; empty where there are no tenants.
	Tenant string
	Method string
	Host   string
	// URI is the path with its query.
	URI  string
	Body []byte
}

// FingerprintOf returns the fingerprint of a request's content.
func FingerprintOf(content RequestContent) Fingerprint {
	digest := xxhash.New() // Write never returns an error.
	for _, part := range []string{content.Tenant, content.Method, content.Host, content.URI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0}) // separates the parts, none of which contains a zero byte
	}
	_, _ = digest.Write(content.Body)
	return Fingerprint(digest.Sum64())
}

const hexadecimal = 16 // the base

// String returns the hexadecimal form that logs and the store use.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), hexadecimal) }

// ParseFingerprint parses the output of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, hexadecimal, 64)
	return Fingerprint(value), err
}
