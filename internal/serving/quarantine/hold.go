package quarantine

import wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"

// Hold states that a request must not be sent to runners until a given time, or, if
// Until is 0, that an earlier hold of the request was lifted. Of two holds of the same
// request the later decided applies; if both were decided at the same time, the hold
// with the later Until applies.
type Hold struct {
	Fingerprint Fingerprint `json:"-"`
	// Decided and Until are Unix times in milliseconds: when the hold was decided or
	// lifted, and when it expires. Until is 0 for a lifted hold.
	Decided int64 `json:"decided_unix_ms"`
	Until   int64 `json:"until_unix_ms"`
	// Length is the duration of the hold in milliseconds; 0 for a lifted hold. The
	// duration of the request's next hold depends on it (nextHold).
	Length int64 `json:"length_ms"`
}

// supersedes reports whether a hold replaces another one of the same request.
func (h Hold) supersedes(other Hold) bool {
	if h.Decided != other.Decided {
		return h.Decided > other.Decided
	}
	return h.Until > other.Until
}

// Encode converts a hold to its wire form.
func Encode(hold Hold) *wirev1.QuarantineHold {
	return &wirev1.QuarantineHold{
		Fingerprint: uint64(hold.Fingerprint), DecidedUnixMs: hold.Decided, UntilUnixMs: hold.Until, LengthMs: hold.Length,
	}
}

// Decode converts a hold from its wire form.
func Decode(encoded *wirev1.QuarantineHold) Hold {
	return Hold{
		Fingerprint: Fingerprint(encoded.Fingerprint),
		Decided:     encoded.DecidedUnixMs, Until: encoded.UntilUnixMs, Length: encoded.LengthMs,
	}
}
