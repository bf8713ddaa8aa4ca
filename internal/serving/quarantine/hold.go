package quarantine

import (
	"slices"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

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
	// Part is set if the fingerprint is that of a part of prompts: the caller's name of the
	// part, or its fingerprint. Environment is where runners ended under the part.
	Part        string      `json:"part,omitempty"`
	Environment Environment `json:"environment,omitzero"`
	// TrialAt is the Unix time in milliseconds from which on one held request may be sent to a
	// runner; 0 if none may be. Trials is the number of such requests so far.
	TrialAt int64 `json:"trial_unix_ms,omitempty"`
	Trials  int   `json:"trials,omitempty"`
	// Provisional is set while the evidence does not amount to endingsToConfirm. Evidence is the
	// sum of the weights of the endings for which the hold was decided and of those under its
	// trials.
	Provisional bool    `json:"provisional,omitempty"`
	Evidence    float64 `json:"evidence,omitempty"`
	// AwaitsCalm is set while the next trial of a provisional hold may confirm it and other runners
	// end: the trial waits until these endings are over.
	AwaitsCalm bool `json:"awaits_calm,omitempty"`
}

// supersedes reports whether a hold replaces another one of the same request.
func (h Hold) supersedes(other Hold) bool {
	if h.Decided != other.Decided {
		return h.Decided > other.Decided
	}
	if h.Until != other.Until {
		return h.Until > other.Until
	}
	return h.Part != "" && other.Part == "" // a node of an earlier version drops the part
}

// Encode converts a hold to its wire form.
func Encode(hold Hold) *wirev1.QuarantineHold {
	return &wirev1.QuarantineHold{
		Fingerprint: uint64(hold.Fingerprint), DecidedUnixMs: hold.Decided, UntilUnixMs: hold.Until, LengthMs: hold.Length,
		Part: hold.Part, Service: hold.Environment.Service, Version: hold.Environment.Version,
		TrialUnixMs: hold.TrialAt, Trials: uint32(hold.Trials), Provisional: hold.Provisional, Evidence: hold.Evidence,
		AwaitsCalm: hold.AwaitsCalm,
	}
}

// Decode converts a hold from its wire form.
func Decode(encoded *wirev1.QuarantineHold) Hold {
	return Hold{
		Fingerprint: Fingerprint(encoded.Fingerprint),
		Decided:     encoded.DecidedUnixMs, Until: encoded.UntilUnixMs, Length: encoded.LengthMs,
		Part: encoded.Part, Environment: Environment{encoded.Service, encoded.Version},
		TrialAt: encoded.TrialUnixMs, Trials: int(encoded.Trials), Provisional: encoded.Provisional, Evidence: encoded.Evidence,
		AwaitsCalm: encoded.AwaitsCalm,
	}
}

// newestHolds returns at most limit of the holds, which are in the order of
// SuspectTable.Holds: the holds of parts first, and then the latest of the others. It keeps
// the order.
func newestHolds(holds []Hold, limit int) []Hold {
	excess := len(holds) - limit
	if excess <= 0 {
		return holds
	}
	selected := slices.Clone(holds)
	for _, isPart := range []bool{false, true} {
		for i := len(selected) - 1; i >= 0 && excess > 0; i-- {
			if selected[i].Part != "" == isPart {
				selected = slices.Delete(selected, i, i+1)
				excess--
			}
		}
	}
	return selected
}
