package fleet

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// Operator signs bundles, and submits and rolls them through a node's admin address.
type Operator struct {
	Name string
	key  ed25519.PrivateKey
	http *httpcall.Client
}

// NewOperator returns an operator with a new key.
func NewOperator(name string) (*Operator, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Operator{Name: name, key: key, http: httpcall.NewClient(nil)}, nil
}

// PublicKey returns the operator's public key in base64.
func (o *Operator) PublicKey() string {
	return base64.StdEncoding.EncodeToString(o.key.Public().(ed25519.PublicKey))
}

// SaveKey writes the private key in the format that 'cobaltramp bundle sign' reads.
func (o *Operator) SaveKey(path string) error {
	encoded, err := x509.MarshalPKCS8PrivateKey(o.key)
	if err != nil {
		return trace.Wrap(err)
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})
	return trace.ConvertSystemError(os.WriteFile(path, text, 0o600))
}

// TenantKey is an API key of a tenant.
type TenantKey struct {
	Tenant string
	Key    string
}

// Hash returns the hash of the key in the format of bundles.
func (k TenantKey) Hash() string {
	hash := bundle.HashKey(k.Key)
	return hex.EncodeToString(hash[:])
}

// BasicBundle returns a bundle with one operator, one model and the given tenants.
func BasicBundle(operator *Operator, model, service string, slots int, tenants []TenantKey) string {
	var text strings.Builder
	fmt.Fprintf(&text, "kind: Policy\nname: fleet\nbatch: {tail_weight: 0.6, reserve_slots: 1}\n---\n")
	fmt.Fprintf(&text, "kind: Operator\nname: %s\npublic_key: %s\n---\n", operator.Name, operator.PublicKey())
	fmt.Fprintf(&text, "kind: Model\nname: %s\nversion: \"1\"\nservice: %s\nslots: %d\n", model, service, slots)
	for _, tenant := range tenants {
		fmt.Fprintf(&text, "---\nkind: Tenant\nname: %s\nkey_hashes: [%s]\n", tenant.Tenant, tenant.Hash())
	}
	return text.String()
}

// Roll signs a bundle as the given generation, submits it and rolls it to all nodes.
func (o *Operator) Roll(ctx context.Context, adminAddress, cluster string, generation uint64, text string) error {
	documents, err := bundle.Parse([]byte(text))
	if err != nil {
		return trace.Wrap(err)
	}
	signOff := bundle.Sign(o.Name, o.key, cluster, generation, bundle.Digest(documents))
	submission := bundle.Submission{Generation: generation, Documents: documents, SignOffs: []bundle.SignOff{signOff}, OperationID: uuid.NewString()}
	if err := o.post(ctx, adminAddress, "/v1/bundle/submit", submission); err != nil {
		return trace.Wrap(err, "submitting")
	}
	roll := bundle.RollRequest{Action: bundle.RollAll, Generation: generation, OperationID: uuid.NewString()}
	roll.SignRoll(o.Name, o.key, cluster)
	return trace.Wrap(o.post(ctx, adminAddress, "/v1/bundle/roll", roll), "rolling")
}

const maxResponseBytes = 1 << 20

func (o *Operator) post(ctx context.Context, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := o.http.Do(ctx, &httpcall.Request{Method: "POST", URL: "http://" + address + path, Body: encoded})
	if err != nil {
		return trace.Wrap(err)
	}
	responseBody, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	if response.Status != 200 {
		return trace.BadParameter("status %d: %s", response.Status, responseBody)
	}
	return nil
}

// get sends a GET request to a node's admin address and decodes the JSON response.
func (o *Operator) get(ctx context.Context, address, path string, into any) error {
	response, err := o.http.Do(ctx, &httpcall.Request{Method: "GET", URL: "http://" + address + path})
	if err != nil {
		return trace.Wrap(err)
	}
	responseBody, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(responseBody, into))
}
