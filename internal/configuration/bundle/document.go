package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"

	"github.com/goccy/go-yaml"
)

// Document is a named part of a bundle in canonical form: JSON with the fields in
// schema order and with defaults filled in.
type Document struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Content json.RawMessage `json:"content"`
}

// Key identifies a document within a bundle.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the document's key.
func (d Document) Key() Key { return Key{d.Kind, d.Name} }

// String formats the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Hash is a SHA-256 hash of a document or of an API key.
type Hash [sha256.Size]byte

// Hash returns the SHA-256 hash of the document's kind, name and content.
func (d Document) Hash() Hash {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%s\n%s\n", d.Kind, d.Name)
	_, _ = digest.Write(d.Content)
	return Hash(digest.Sum(nil))
}

// Parse decodes YAML documents separated by "---". Each document has a kind, a name
// and the fields of its kind; empty documents are skipped. Parse returns the documents
// sorted by kind and name. It returns an error that identifies the document if a field
// is unknown, a value is invalid or a name occurs twice within a kind. References
// between documents are checked by Compile.
func Parse(text []byte) ([]Document, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var documents []Document
	seen := map[Key]bool{}
	for position := 1; ; position++ {
		var fields map[string]any
		err := decoder.Decode(&fields)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("document %d: %s", position, yaml.FormatError(err, false, true))
		}
		if fields == nil {
			continue
		}
		document, err := newDocument(fields)
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", position, err)
		}
		if seen[document.Key()] {
			return nil, fmt.Errorf("document %d: %s is named twice", position, document.Key())
		}
		seen[document.Key()] = true
		documents = append(documents, document)
	}
	Sort(documents)
	return documents, nil
}

// Sort sorts documents by kind and name.
func Sort(documents []Document) {
	sort.Slice(documents, func(i, j int) bool {
		if documents[i].Kind != documents[j].Kind {
			return documents[i].Kind < documents[j].Kind
		}
		return documents[i].Name < documents[j].Name
	})
}

func newDocument(fields map[string]any) (Document, error) {
	kind, _ := fields["kind"].(string)
	name, _ := fields["name"].(string)
	if !namePattern.MatchString(name) {
		return Document{}, &FieldError{Kind(kind), name, "name", fmt.Sprintf("%q", name), nameAllowed}
	}
	delete(fields, "kind")
	delete(fields, "name")
	raw, err := json.Marshal(fields)
	if err != nil {
		return Document{}, fmt.Errorf("%s %q: %w", kind, name, err)
	}
	return Canonical(Kind(kind), name, raw)
}

// Canonical returns the document in canonical form: it decodes the JSON content
// strictly, fills in defaults, validates the fields and encodes them again, so that
// equal documents have equal bytes. It does not check the name.
func Canonical(kind Kind, name string, content []byte) (Document, error) {
	value, err := decodeSpec(kind, name, content)
	if err != nil {
		return Document{}, err
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return Document{}, fmt.Errorf("%s %q: %w", kind, name, err)
	}
	return Document{Kind: kind, Name: name, Content: encoded}, nil
}

func decodeSpec(kind Kind, name string, content []byte) (any, error) {
	switch kind {
	case KindPolicy:
		spec := newPolicy()
		return &spec, decodeStrict(kind, name, content, &spec, spec.check)
	case KindModel:
		spec := newModel()
		return &spec, decodeStrict(kind, name, content, &spec, spec.check)
	case KindTenant:
		spec := newTenant()
		return &spec, decodeStrict(kind, name, content, &spec, spec.check)
	case KindOperator:
		spec := Operator{}
		return &spec, decodeStrict(kind, name, content, &spec, spec.check)
	default:
		return nil, &FieldError{kind, name, "kind", fmt.Sprintf("%q", kind), "Policy, Model, Tenant or Operator"}
	}
}

func decodeStrict(kind Kind, name string, content []byte, spec any, check func(string) error) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return fmt.Errorf("%s %q: %w", kind, name, err)
	}
	return check(name)
}
