package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/modules/operators/admin"
)

type bundleCommands struct {
	Keygen   keygenCommand       `command:"keygen" description:"make an operator's key pair"`
	HashKey  hashKeyCommand      `command:"hash-key" description:"print the hash of a tenant's API key, for its document"`
	Validate validateCommand     `command:"validate" description:"check a bundle file"`
	Sign     signCommand         `command:"sign" description:"sign a bundle file off as the next generation"`
	Submit   submitCommand       `command:"submit" description:"offer a signed bundle as the next generation"`
	Roll     rollCommand         `command:"roll" description:"roll the newest generation: next stage, all, or halt"`
	Status   bundleStatusCommand `command:"status" description:"show which generation is in force where, or what an operation did"`
	History  historyCommand      `command:"history" description:"list accepted generations"`
}

type keygenCommand struct {
	Key string `short:"k" long:"key" required:"true" description:"file the private key is written to (PEM); must not exist"`
}

type keygenBody struct {
	PublicKey string `json:"public_key"`
}

// Execute implements flags.Commander.
func (k *keygenCommand) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return trace.Wrap(err)
	}
	file, err := os.OpenFile(k.Key, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "key file %s", k.Key)
	}
	if err := pem.Encode(file, &pem.Block{Type: "PRIVATE KEY", Bytes: encoded}); err != nil {
		_ = file.Close() // the write has failed already
		return trace.Wrap(err, "key file %s", k.Key)
	}
	if err := file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	body := keygenBody{base64.StdEncoding.EncodeToString(public)}
	return output.print(body, func() { fmt.Println("public_key:", body.PublicKey) })
}

func loadKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "key file %s", path)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, trace.BadParameter("key file %s: found no PEM block, allowed: an Ed25519 private key made by 'bundle keygen'", path)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return nil, trace.BadParameter("key file %s: found another kind of key, allowed: an Ed25519 private key made by 'bundle keygen'", path)
	}
	return key, nil
}

type hashKeyCommand struct {
	Arguments struct {
		Key string `positional-arg-name:"key" description:"the API key"`
	} `positional-args:"true" required:"true"`
}

type hashKeyBody struct {
	Hash string `json:"hash"`
}

// Execute implements flags.Commander.
func (h *hashKeyCommand) Execute([]string) error {
	sum := sha256.Sum256([]byte(h.Arguments.Key))
	body := hashKeyBody{hex.EncodeToString(sum[:])}
	return output.print(body, func() { fmt.Println(body.Hash) })
}

type bundleFile struct {
	Arguments struct {
		File string `positional-arg-name:"file" description:"bundle file (YAML documents)"`
	} `positional-args:"true" required:"true"`
}

func (b *bundleFile) load() ([]bundle.Document, *bundle.Snapshot, error) {
	text, err := os.ReadFile(b.Arguments.File)
	if err != nil {
		return nil, nil, trace.Wrap(trace.ConvertSystemError(err), "bundle file %s", b.Arguments.File)
	}
	documents, err := bundle.Parse(text)
	if err != nil {
		return nil, nil, trace.BadParameter("bundle file %s: %v", b.Arguments.File, err)
	}
	snapshot, err := bundle.Compile(1, documents)
	if err != nil {
		return nil, nil, trace.BadParameter("bundle file %s: %v", b.Arguments.File, err)
	}
	return documents, snapshot, nil
}

type validateCommand struct{ bundleFile }

type validateBody struct {
	Digest    string `json:"digest"`
	Models    int    `json:"models"`
	Tenants   int    `json:"tenants"`
	Operators int    `json:"operators"`
}

// Execute implements flags.Commander.
func (v *validateCommand) Execute([]string) error {
	_, snapshot, err := v.load()
	if err != nil {
		return err
	}
	body := validateBody{snapshot.Digest, len(snapshot.Models), snapshot.Tenants(), len(snapshot.Operators)}
	return output.print(body, func() {
		fmt.Printf("%s is valid: %d models, %d tenants, %d operators, digest %s\n", v.Arguments.File, body.Models, body.Tenants, body.Operators, body.Digest)
	})
}

type signCommand struct {
	bundleFile
	Key        string `short:"k" long:"key" required:"true" description:"the operator's private key file"`
	Operator   string `long:"operator" required:"true" description:"the operator's name in the bundle in force"`
	Cluster    string `long:"cluster" required:"true" description:"the cluster the bundle is for"`
	Generation uint64 `short:"g" long:"generation" required:"true" description:"the generation it is to become: the newest plus one"`
	Out        string `long:"out" required:"true" description:"file the signed submission is written to; signatures in it are kept"`
}

// Execute implements flags.Commander.
func (s *signCommand) Execute([]string) error {
	key, err := loadKey(s.Key)
	if err != nil {
		return err
	}
	documents, snapshot, err := s.load()
	if err != nil {
		return err
	}
	submission, err := s.existingSubmission(documents, snapshot.Digest)
	if err != nil {
		return err
	}
	submission.SignOffs = append(submission.SignOffs, bundle.Sign(s.Operator, key, s.Cluster, s.Generation, snapshot.Digest))
	encoded, err := json.MarshalIndent(submission, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(s.Out, append(encoded, '\n'), 0o644); err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "writing %s", s.Out)
	}
	return output.print(submission, func() {
		fmt.Printf("%s: generation %d signed by %s (%d sign-offs), operation %s\n", s.Out, s.Generation, s.Operator, len(submission.SignOffs), submission.OperationID)
	})
}

// existingSubmission returns the submission in the output file, to which another sign-off
// can be added, or a new submission if there is no such file. It returns an error if the file
// has other contents or this operator has already signed it.
func (s *signCommand) existingSubmission(documents []bundle.Document, digest string) (*bundle.Submission, error) {
	created := &bundle.Submission{Generation: s.Generation, Documents: documents, OperationID: uuid.NewString()}
	if _, err := os.Stat(s.Out); os.IsNotExist(err) {
		return created, nil
	}
	found, err := readSubmission(s.Out)
	if err != nil {
		return nil, err
	}
	if found.Generation != s.Generation || bundle.Digest(found.Documents) != digest {
		return nil, trace.BadParameter("%s holds another bundle or generation; name another file by --out", s.Out)
	}
	for _, signOff := range found.SignOffs {
		if signOff.Operator == s.Operator {
			return nil, trace.BadParameter("%s is signed by %s already", s.Out, s.Operator)
		}
	}
	return found, nil
}

func readSubmission(path string) (*bundle.Submission, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "submission file %s", path)
	}
	var submission bundle.Submission
	if err := json.Unmarshal(text, &submission); err != nil {
		return nil, trace.BadParameter("submission file %s: %v; make it by 'bundle sign'", path, err)
	}
	return &submission, nil
}

type submitCommand struct {
	adminOptions
	Arguments struct {
		File string `positional-arg-name:"file" description:"signed submission made by 'bundle sign'"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander. The same file can safely be submitted again, because
// the operation with its id takes effect only once.
func (s *submitCommand) Execute([]string) error {
	submission, err := readSubmission(s.Arguments.File)
	if err != nil {
		return err
	}
	var head bundle.Head
	if err := s.call("POST", "/v1/bundle/submit", submission, &head); err != nil {
		return err
	}
	return output.print(head, func() { printHead(&head) })
}

func printHead(head *bundle.Head) {
	state := "rolled everywhere"
	if head.Rolled != head.Generation {
		state = fmt.Sprintf("stage %d of %d", head.Stage, len(head.Stages))
	}
	if head.Halted {
		state += ", halted"
	}
	fmt.Printf("generation %d, digest %.12s, %s (revision %d, operation %s)\n", head.Generation, head.Digest, state, head.Revision, head.OperationID)
}

type rollCommand struct {
	adminOptions
	Key       string `short:"k" long:"key" required:"true" description:"the operator's private key file"`
	Operator  string `long:"operator" required:"true" description:"the operator's name in the newest bundle"`
	Cluster   string `long:"cluster" required:"true" description:"the cluster"`
	Operation string `long:"operation" description:"operation id of an earlier try whose answer was lost"`
	Arguments struct {
		Action string `positional-arg-name:"action" description:"next, all or halt"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (r *rollCommand) Execute([]string) error {
	key, err := loadKey(r.Key)
	if err != nil {
		return err
	}
	var status admin.BundleBody
	if err := r.call("GET", "/v1/bundle", nil, &status); err != nil {
		return err
	}
	if status.Head == nil {
		return trace.NotFound("no bundle was submitted yet")
	}
	request := bundle.RollRequest{Action: bundle.RollAction(r.Arguments.Action), Generation: status.Head.Generation, OperationID: r.Operation}
	if request.OperationID == "" {
		request.OperationID = uuid.NewString()
	}
	request.SignRoll(r.Operator, key, r.Cluster)
	var head bundle.Head
	if err := r.call("POST", "/v1/bundle/roll", request, &head); err != nil {
		return trace.Wrap(err, "operation %s", request.OperationID)
	}
	return output.print(head, func() { printHead(&head) })
}

type bundleStatusCommand struct {
	adminOptions
	Operation string `long:"operation" description:"show what this operation did instead"`
}

// Execute implements flags.Commander.
func (b *bundleStatusCommand) Execute([]string) error {
	if b.Operation != "" {
		var head bundle.Head
		if err := b.call("GET", "/v1/bundle/operations/"+b.Operation, nil, &head); err != nil {
			return err
		}
		return output.print(head, func() { printHead(&head) })
	}
	var status admin.BundleBody
	if err := b.call("GET", "/v1/bundle", nil, &status); err != nil {
		return err
	}
	return output.print(status, func() { printBundleStatus(&status) })
}

func printBundleStatus(status *admin.BundleBody) {
	if status.Head == nil {
		fmt.Println("no bundle was submitted yet")
		return
	}
	printHead(status.Head)
	zones := make([]string, 0, len(status.ActiveGenerations))
	for zone := range status.ActiveGenerations {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	for _, zone := range zones {
		counts := map[uint64]int{}
		for _, generation := range status.ActiveGenerations[zone] {
			counts[generation]++
		}
		fmt.Printf("%-20s nodes by generation: %v\n", zone, counts)
	}
	if len(status.Lagging) > 0 {
		fmt.Println("lagging:", strings.Join(status.Lagging, " "))
	}
}

type historyCommand struct {
	adminOptions
	Limit int `long:"limit" default:"20" description:"generations to list"`
}

// Execute implements flags.Commander.
func (h *historyCommand) Execute([]string) error {
	var history []admin.HistoryBody
	if err := h.call("GET", fmt.Sprintf("/v1/bundle/history?limit=%d", h.Limit), nil, &history); err != nil {
		return err
	}
	return output.print(history, func() {
		for _, generation := range history {
			fmt.Printf("%6d  %.12s  changed %s  removed %s\n", generation.Generation, generation.Digest, strings.Join(generation.Changed, " "), strings.Join(generation.Removed, " "))
		}
	})
}
