// Package settings decodes and checks a node's settings file: Settings of a
// plain node, Role of an edge or a storage node. Settings say where a node is,
// whom it talks to and what it may use; policy lies in the bundle of a plain
// node and in the store's configuration of the roles.
//
// It owns the names, defaults and bounds of the keys, and relies on no other
// node or service. Every program reads its file once, at its start.
//
// Decoding is strict: an unknown key or a bad value stops the start with the
// field, the line, what was found and what is allowed.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Settings is one node's settings file.
type Settings struct {
	// Cluster names the deployment; nodes of different clusters refuse each other.
	Cluster string `yaml:"cluster"`
	// Node says which node this is and where it listens.
	Node NodeSettings `yaml:"node"`
	// Data is set on the few nodes that have a disk for bulk data.
	Data DiskSettings `yaml:"data"`
	// Platform says where the platform's services are.
	Platform PlatformSettings `yaml:"platform"`
	// TLS names key files; each part left out means plain TCP there.
	TLS TLSSettings `yaml:"tls"`
	// Limits bound what the node takes from callers.
	Limits CallerLimits `yaml:"limits"`
}

// NodeSettings say which node this is and where it listens.
type NodeSettings struct {
	// ID is unique in the cluster: letters, digits, dots and dashes. Default:
	// the internal address.
	ID string `yaml:"id"`
	// Region groups zones, for example "occidente".
	Region string `yaml:"region"`
	// Zone is the failure domain the node stands in, for example "gdl-centro".
	Zone string `yaml:"zone"`
	// InternalAddress is IP:port other nodes reach this one at.
	InternalAddress string `yaml:"internal_address"`
	// APIAddress is IP:port callers reach this node at.
	APIAddress string `yaml:"api_address"`
	// AdminAddress is IP:port for health, metrics and operators' verbs.
	AdminAddress string `yaml:"admin_address"`
}

// DiskSettings are of a node that has a disk.
type DiskSettings struct {
	// Folder is the data folder. Empty: the node keeps nothing.
	Folder string `yaml:"folder"`
	// Shards is the number of batch shards when the cluster is founded
	// (default 8). Later it is read from the platform's service.
	Shards int `yaml:"shards"`
	// ReserveBytes of disk are left free: new jobs are refused below it
	// (default 256 MiB).
	ReserveBytes int64 `yaml:"reserve_bytes"`
}

// PlatformSettings say where the platform's services are.
type PlatformSettings struct {
	// KeyValue is the base URL of the key-value service (etcd v3 JSON gateway).
	KeyValue string `yaml:"key_value"`
	// Machines is the URL of the machine list (Prometheus HTTP discovery JSON).
	Machines string `yaml:"machines"`
	// Runners is the URL of the runner list, in the same format.
	Runners string `yaml:"runners"`
	// RequestsPerSecond bounds calls to the key-value service (default 5).
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// ListInterval is the time between reads of the lists (default 2s).
	ListInterval YAMLDuration `yaml:"list_interval"`
}

// TLSSettings name key files in PEM. Files are read again when they change.
type TLSSettings struct {
	// API serves callers by TLS.
	API KeyPair `yaml:"api"`
	// Nodes is this node's key pair for mutual TLS between nodes.
	Nodes KeyPair `yaml:"nodes"`
	// NodesAuthority is the certificate authority of all nodes.
	NodesAuthority string `yaml:"nodes_authority"`
}

// KeyPair is a certificate and its key.
type KeyPair struct {
	// Certificate is the path of the PEM certificate chain.
	Certificate string `yaml:"certificate"`
	// Key is the path of the PEM private key.
	Key string `yaml:"key"`
}

// IsSet reports whether a pair is named.
func (p KeyPair) IsSet() bool { return p.Certificate != "" || p.Key != "" }

// CallerLimits bound what the node takes from callers.
type CallerLimits struct {
	// BodyBytes bounds one request's body (default 4 MiB).
	BodyBytes int `yaml:"body_bytes"`
	// FileBytes bounds one uploaded file (default 2 GiB).
	FileBytes int64 `yaml:"file_bytes"`
	// StopTimeout bounds a planned stop (default 60s); what still runs then is
	// ended with a numbered error.
	StopTimeout YAMLDuration `yaml:"stop_timeout"`
}

// YAMLDuration is written like "1.5s" or "250ms".
type YAMLDuration struct{ time.Duration }

// UnmarshalYAML implements goccy/go-yaml's BytesUnmarshaler.
func (d *YAMLDuration) UnmarshalYAML(text []byte) error {
	var written string
	if err := yaml.Unmarshal(text, &written); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(written)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 1.5s or 250ms", written)
	}
	d.Duration = parsed
	return nil
}

// MarshalYAML writes the duration as it is read.
func (d YAMLDuration) MarshalYAML() ([]byte, error) { return []byte(d.String()), nil }

// Load reads, decodes, completes and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading settings")
	}
	loaded, err := Parse(text)
	if err != nil {
		return nil, trace.Wrap(err, "settings file %s", path)
	}
	return loaded, nil
}

// Parse decodes, completes and checks settings.
func Parse(text []byte) (*Settings, error) {
	var parsed Settings
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("%s", yaml.FormatError(err, false, true))
	}
	parsed.Complete()
	if err := parsed.Validate(); err != nil {
		return nil, locate(text, err)
	}
	return &parsed, nil
}

// Defaults, as documented on the fields.
const (
	DefaultShards            = 8
	DefaultReserveBytes      = 256 << 20
	DefaultRequestsPerSecond = 5
	DefaultListInterval      = 2 * time.Second
	DefaultBodyBytes         = 4 << 20
	DefaultFileBytes         = 2 << 30
	DefaultStopTimeout       = 60 * time.Second
)

// Complete fills in defaults.
func (s *Settings) Complete() {
	if s.Node.ID == "" {
		s.Node.ID = s.Node.InternalAddress
	}
	orDefault(&s.Data.Shards, DefaultShards)
	orDefault(&s.Data.ReserveBytes, DefaultReserveBytes)
	orDefault(&s.Platform.RequestsPerSecond, DefaultRequestsPerSecond)
	orDefault(&s.Platform.ListInterval.Duration, DefaultListInterval)
	orDefault(&s.Limits.BodyBytes, DefaultBodyBytes)
	orDefault(&s.Limits.FileBytes, DefaultFileBytes)
	orDefault(&s.Limits.StopTimeout.Duration, DefaultStopTimeout)
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
