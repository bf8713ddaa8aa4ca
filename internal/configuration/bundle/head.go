package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// SignOff is an operator's signature of a bundle.
type SignOff struct {
	Operator  string `json:"operator"`
	Signature string `json:"signature"`
}

// Head records the newest accepted generation and the progress of its rollout. A new
// generation is not active in any zone until the first roll action. The stored head is
// replaced only by compare-and-swap, because several operators may change it at the
// same time.
//
// Invariants: each change increases Revision by one; Generation never decreases; the
// digest of a generation never changes.
type Head struct {
	Revision   uint64 `json:"revision"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	// Stages lists the zones of each rollout stage of the generation. Stage is the
	// number of stages that the rollout has reached, 0 after a submission. Halted is
	// true from a halt until the next roll action next or all.
	Stages [][]string `json:"stages,omitempty"`
	Stage  int        `json:"stage"`
	Halted bool       `json:"halted,omitempty"`
	// Zones lists the zones with a newer generation than Rolled. A zone keeps its
	// generation when the next one is submitted.
	Zones []ZoneRoll `json:"zones,omitempty"`
	// Rolled is the newest generation that was rolled out to the whole fleet; 0 means
	// none.
	Rolled       uint64    `json:"rolled"`
	RolledDigest string    `json:"rolled_digest,omitempty"`
	SignOffs     []SignOff `json:"sign_offs"`
	// OperationID identifies the change that wrote this head, so that an operator
	// who got no response can find out whether the change took effect.
	OperationID string    `json:"operation_id"`
	ChangedAt   time.Time `json:"changed_at"`
}

// ZoneRoll is the generation that a rollout stage activated in a zone.
type ZoneRoll struct {
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
}

// DecodeHead decodes a stored head.
func DecodeHead(text []byte) (*Head, error) {
	var head Head
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, fmt.Errorf("decoding bundle head: %w", err)
	}
	return &head, nil
}

// Encode returns the stored form of the head.
func (h *Head) Encode() []byte {
	text, err := json.Marshal(h)
	if err != nil {
		panic("bundle: head cannot be encoded: " + err.Error()) // impossible: all fields can be encoded
	}
	return text
}

// GenerationFor returns the generation that is to be active in the zone, and its
// digest. It returns 0 if no generation has been rolled out to the zone yet. The
// generation never decreases from one head to the next.
func (h *Head) GenerationFor(zone string) (uint64, string) {
	generation, digest := h.Rolled, h.RolledDigest
	for _, rolled := range h.Zones {
		if rolled.Zone == zone && rolled.Generation > generation {
			generation, digest = rolled.Generation, rolled.Digest
		}
	}
	return generation, digest
}

// setZone assigns the newest generation to a zone.
func (h *Head) setZone(zone string) {
	rolled := ZoneRoll{zone, h.Generation, h.Digest}
	zones := make([]ZoneRoll, 0, len(h.Zones)+1)
	for _, other := range h.Zones {
		if other.Zone != zone {
			zones = append(zones, other)
		}
	}
	h.Zones = append(zones, rolled)
}

// Submission is a signed bundle that is submitted as the next generation.
type Submission struct {
	Generation  uint64     `json:"generation"`
	Documents   []Document `json:"documents"`
	SignOffs    []SignOff  `json:"sign_offs"`
	OperationID string     `json:"operation_id"`
}

// SigningMessage returns the message that operators sign. It contains the cluster and
// the generation, so that a signature is not valid for another cluster or generation.
func SigningMessage(cluster string, generation uint64, digest string) []byte {
	return fmt.Appendf(nil, "cobaltramp bundle v1\n%s\n%d\n%s\n", cluster, generation, digest)
}

// Sign returns the operator's signature of a bundle.
func Sign(operator string, key ed25519.PrivateKey, cluster string, generation uint64, digest string) SignOff {
	signature := ed25519.Sign(key, SigningMessage(cluster, generation, digest))
	return SignOff{Operator: operator, Signature: base64.StdEncoding.EncodeToString(signature)}
}

// VerifySignOffs checks that enough operators have signed a bundle. The operators and
// the required number come from authority: the snapshot of the previous generation,
// or, for generation 1, of the bundle itself. VerifySignOffs returns SignatureInvalid
// if there are too few sign-offs, and also if any sign-off is invalid or its operator
// is not in authority.
func VerifySignOffs(authority *Snapshot, cluster string, generation uint64, digest string, signOffs []SignOff) error {
	message := SigningMessage(cluster, generation, digest)
	valid := map[string]bool{}
	for _, signOff := range signOffs {
		operator, known := authority.Operators[signOff.Operator]
		if !known {
			return result.New(result.SignatureInvalid, "operator %q is not named in the bundle that judges this one", signOff.Operator)
		}
		signature, err := base64.StdEncoding.DecodeString(signOff.Signature)
		if err != nil || !ed25519.Verify(operator.Key(), message, signature) {
			return result.New(result.SignatureInvalid, "signature of operator %q does not fit generation %d of cluster %q with this content", signOff.Operator, generation, cluster)
		}
		valid[signOff.Operator] = true
	}
	if len(valid) < authority.Policy.SignOffThreshold {
		return result.New(result.SignatureInvalid, "%d of %d required sign-offs", len(valid), authority.Policy.SignOffThreshold)
	}
	return nil
}

// Accept validates a submission and returns the next head and the submission's
// snapshot. It returns BundleInvalid, GenerationConflict or SignatureInvalid if the
// submission is refused. authority is the snapshot of current's generation; current
// and authority are nil in a cluster without a bundle.
func Accept(current *Head, authority *Snapshot, cluster string, submission *Submission, now time.Time) (*Head, *Snapshot, error) {
	proposed, err := Compile(submission.Generation, submission.Documents)
	if err != nil {
		return nil, nil, result.New(result.BundleInvalid, "%v", err)
	}
	if authority == nil {
		authority = proposed
	}
	if err := checkGeneration(current, submission.Generation); err != nil {
		return nil, nil, err
	}
	if err := VerifySignOffs(authority, cluster, submission.Generation, proposed.Digest, submission.SignOffs); err != nil {
		return nil, nil, err
	}
	next := &Head{
		Revision: 1, Generation: submission.Generation, Digest: proposed.Digest,
		Stages: proposed.Policy.Stages, SignOffs: submission.SignOffs,
		OperationID: submission.OperationID, ChangedAt: now.UTC(),
	}
	if current != nil {
		next.Revision = current.Revision + 1
		next.Rolled, next.RolledDigest = current.Rolled, current.RolledDigest
		next.Zones = current.Zones
	}
	return next, proposed, nil
}

func checkGeneration(current *Head, generation uint64) error {
	want := uint64(1)
	if current != nil {
		want = current.Generation + 1
	}
	if generation != want {
		return result.New(result.GenerationConflict, "submitted generation %d, the next is %d", generation, want)
	}
	return nil
}

// RollAction is an operator's action on the rollout of the newest generation.
type RollAction string

// Roll actions.
const (
	RollNext RollAction = "next"
	RollAll  RollAction = "all"
	RollHalt RollAction = "halt"
)

// Roll returns the head after the action: RollNext reaches the next stage, RollAll
// reaches all stages, and RollHalt marks the rollout as halted and leaves the zones as
// they are. RollNext and RollAll also end a halt. Roll returns NotFound if current is
// nil, and InvalidRequest for any other action.
func Roll(current *Head, action RollAction, operationID string, now time.Time) (*Head, error) {
	if current == nil {
		return nil, result.New(result.NotFound, "no bundle was submitted yet")
	}
	next := *current
	next.Revision++
	next.OperationID = operationID
	next.ChangedAt = now.UTC()
	switch action {
	case RollHalt:
		next.Halted = true
		return &next, nil
	case RollAll:
		next.Stage = len(next.Stages)
	case RollNext:
		next.Stage = min(next.Stage+1, len(next.Stages))
	default:
		return nil, result.New(result.InvalidRequest, "roll action %q, allowed: next, all or halt", action)
	}
	next.Halted = false
	next.applyStages()
	return &next, nil
}

// applyStages assigns the newest generation to the zones of the stages reached, or,
// once the last stage is reached, to the whole fleet, including zones that are in no
// stage.
func (h *Head) applyStages() {
	if h.Stage >= len(h.Stages) {
		h.Rolled, h.RolledDigest = h.Generation, h.Digest
		h.Zones = nil
		return
	}
	for _, stage := range h.Stages[:h.Stage] {
		for _, zone := range stage {
			h.setZone(zone)
		}
	}
}

// RollRequest requests a roll action for the newest accepted generation. It is signed
// by one operator of that generation.
type RollRequest struct {
	Action      RollAction `json:"action"`
	Generation  uint64     `json:"generation"`
	OperationID string     `json:"operation_id"`
	SignOff     SignOff    `json:"sign_off"`
}

func (r *RollRequest) message(cluster string) []byte {
	return fmt.Appendf(nil, "cobaltramp roll v1\n%s\n%d\n%s\n%s\n", cluster, r.Generation, r.Action, r.OperationID)
}

// SignRoll signs the request as the operator.
func (r *RollRequest) SignRoll(operator string, key ed25519.PrivateKey, cluster string) {
	signature := ed25519.Sign(key, r.message(cluster))
	r.SignOff = SignOff{Operator: operator, Signature: base64.StdEncoding.EncodeToString(signature)}
}

// VerifyRoll checks that an operator in authority, the snapshot of the newest accepted
// generation, has signed the request. It returns SignatureInvalid if the check fails.
func VerifyRoll(authority *Snapshot, cluster string, request *RollRequest) error {
	operator, known := authority.Operators[request.SignOff.Operator]
	if !known {
		return result.New(result.SignatureInvalid, "operator %q is not named in the newest bundle", request.SignOff.Operator)
	}
	signature, err := base64.StdEncoding.DecodeString(request.SignOff.Signature)
	if err != nil || !ed25519.Verify(operator.Key(), request.message(cluster), signature) {
		return result.New(result.SignatureInvalid, "signature of operator %q does not fit this roll request", request.SignOff.Operator)
	}
	return nil
}
