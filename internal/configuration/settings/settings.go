// Package settings decodes and validates a node's settings file: Settings for a
// plain node, Role for an edge or a storage node. The settings give the node's
// location, the addresses of its peers and services, and the resources that it
// may use. Policy is not part of the settings: a plain node reads it from the
// bundle, an edge or a storage node from the platform's store.
//
// The package defines the keys with their defaults and allowed values. Every
// program reads its file once, when it starts.
//
// Decoding is strict: an unknown key, a value of the wrong type or an invalid value
// is an error. The error gives the line and, for an invalid value, the field, the
// value and the allowed values.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Settings is the settings file of a plain node.
type Settings struct {
	// Cluster is the name of the deployment. Nodes of different clusters refuse
	// connections from each other.
	Cluster string `yaml:"cluster"`
	// Node identifies the node and gives the addresses on which it listens.
	Node NodeSettings `yaml:"node"`
	// Data configures the node's disk for batch data.
	Data DiskSettings `yaml:"data"`
	// Platform gives the addresses of the platform's services.
	Platform PlatformSettings `yaml:"platform"`
	// TLS gives the paths of certificates and keys. Connections whose key pair
	// is left out use plain TCP.
	TLS TLSSettings `yaml:"tls"`
	// Limits bounds the size of callers' requests and the duration of a stop.
	Limits CallerLimits `yaml:"limits"`
}

// NodeSettings identifies a node and gives the addresses on which it listens.
type NodeSettings struct {
	// ID is the node's name, unique in the cluster (default: the internal
	// address).
	ID string `yaml:"id"`
	// Region is the node's region, a group of zones, for example "occidente".
	Region string `yaml:"region"`
	// Zone is the node's failure domain, for example "gdl-centro".
	Zone string `yaml:"zone"`
	// InternalAddress is the IP:port on which the node serves other nodes.
	InternalAddress string `yaml:"internal_address"`
	// APIAddress is the IP:port on which the node serves callers.
	APIAddress string `yaml:"api_address"`
	// AdminAddress is the IP:port on which the node serves health checks,
	// metrics and operators' commands.
	AdminAddress string `yaml:"admin_address"`
}

// DiskSettings configures the disk of a node that stores batch data.
type DiskSettings struct {
	// Folder is the data folder. A node without a folder stores nothing.
	Folder string `yaml:"folder"`
	// Shards is the number of batch shards that a new cluster is created with
	// (default 8). An existing cluster's number is read from the key-value
	// service.
	Shards int `yaml:"shards"`
	// ReserveBytes is the free disk space below which new jobs are refused
	// (default 256 MiB).
	ReserveBytes int64 `yaml:"reserve_bytes"`
}

// PlatformSettings gives the addresses of the platform's services.
type PlatformSettings struct {
	// KeyValue is the base URL of the key-value service (etcd v3 JSON gateway).
	KeyValue string `yaml:"key_value"`
	// Machines is the URL of the machine list (Prometheus HTTP discovery JSON).
	Machines string `yaml:"machines"`
	// Runners is the URL of the runner list, in the same format.
	Runners string `yaml:"runners"`
	// RequestsPerSecond limits the rate of calls to the key-value service
	// (default 5).
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// ListInterval is the time between two reads of the machine list, and between
	// two reads of the runner list (default 2s, at least 100ms).
	ListInterval YAMLDuration `yaml:"list_interval"`
}

// TLSSettings gives the paths of PEM files. Files are read again when they
// change.
type TLSSettings struct {
	// API is the key pair of the callers' API.
	API KeyPair `yaml:"api"`
	// Nodes is this node's key pair for mutual TLS between nodes.
	Nodes KeyPair `yaml:"nodes"`
	// NodesAuthority is the path of the certificate of the authority that signs
	// the nodes' certificates.
	NodesAuthority string `yaml:"nodes_authority"`
}

// KeyPair gives the paths of a certificate and its private key.
type KeyPair struct {
	// Certificate is the path of the PEM certificate chain.
	Certificate string `yaml:"certificate"`
	// Key is the path of the PEM private key.
	Key string `yaml:"key"`
}

// IsSet reports whether the certificate's path, the key's path or both are set.
func (p KeyPair) IsSet() bool { return p.Certificate != "" || p.Key != "" }

// CallerLimits bounds the size of callers' requests and the duration of a stop.
type CallerLimits struct {
	// BodyBytes is the maximum size of a request body other than a file upload
	// (default 4 MiB, at least 1024 bytes).
	BodyBytes int `yaml:"body_bytes"`
	// FileBytes is the maximum size of an uploaded file (default 2 GiB).
	FileBytes int64 `yaml:"file_bytes"`
	// StopTimeout is the maximum duration of a graceful stop (default 60s).
	// Requests that still run then end with an error.
	StopTimeout YAMLDuration `yaml:"stop_timeout"`
}

// YAMLDuration is a duration written in YAML as, for example, "1.5s" or "250ms".
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

// MarshalYAML writes the duration in the form that UnmarshalYAML reads.
func (d YAMLDuration) MarshalYAML() ([]byte, error) { return []byte(d.String()), nil }

// Load reads a settings file, fills in defaults and validates it.
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

// Parse decodes settings, fills in defaults and validates them.
func Parse(text []byte) (*Settings, error) {
	var parsed Settings
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("%s", yaml.FormatError(err, false, true))
	}
	parsed.SetDefaults()
	if err := parsed.Validate(); err != nil {
		return nil, addLineNumber(text, err)
	}
	return &parsed, nil
}

// Defaults of the fields.
const (
	DefaultShards            = 8
	DefaultReserveBytes      = 256 << 20
	DefaultRequestsPerSecond = 5
	DefaultListInterval      = 2 * time.Second
	DefaultBodyBytes         = 4 << 20
	DefaultFileBytes         = 2 << 30
	DefaultStopTimeout       = 60 * time.Second
)

// SetDefaults sets fields that are zero to their defaults. A zero in the file
// therefore also selects the default.
func (s *Settings) SetDefaults() {
	if s.Node.ID == "" {
		s.Node.ID = s.Node.InternalAddress
	}
	setDefault(&s.Data.Shards, DefaultShards)
	setDefault(&s.Data.ReserveBytes, DefaultReserveBytes)
	setDefault(&s.Platform.RequestsPerSecond, DefaultRequestsPerSecond)
	setDefault(&s.Platform.ListInterval.Duration, DefaultListInterval)
	setDefault(&s.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&s.Limits.FileBytes, DefaultFileBytes)
	setDefault(&s.Limits.StopTimeout.Duration, DefaultStopTimeout)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
