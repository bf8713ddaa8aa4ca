package quarantine

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Equal contents have equal fingerprints, and a change of any part changes the
// fingerprint.
func TestFingerprintDependsOnContentOnly(t *testing.T) {
	is := is.New(t)
	content := RequestContent{Tenant: "t", Method: "POST", Host: "h", URI: "/a/b", Body: []byte("body")}
	is.Equal(FingerprintOf(content), FingerprintOf(RequestContent{"t", "POST", "h", "/a/b", []byte("body")}))
	for _, other := range []RequestContent{
		{"u", "POST", "h", "/a/b", []byte("body")},
		{"t", "GET", "h", "/a/b", []byte("body")},
		{"t", "POST", "g", "/a/b", []byte("body")},
		{"t", "POST", "h", "/a/c", []byte("body")},
		{"t", "POST", "h", "/a/b", []byte("bodz")},
		{"tP", "OST", "h", "/a/b", []byte("body")}, // the same bytes, divided differently
		{"t", "POST", "h/a", "/b", []byte("body")},
		{"t", "POST", "h", "/a", []byte("/bbody")},
	} {
		is.True(FingerprintOf(other) != FingerprintOf(content))
	}
}

// ParseFingerprint is the inverse of Fingerprint.String.
func TestFingerprintText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fingerprint := Fingerprint(rapid.Uint64().Draw(rt, "fingerprint"))
		read, err := ParseFingerprint(fingerprint.String())
		if err != nil || read != fingerprint {
			rt.Fatalf("%v is read as %v: %v", fingerprint, read, err)
		}
	})
	is := is.New(t)
	_, err := ParseFingerprint("not hexadecimal")
	is.True(err != nil)
}
