package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

// Role is the settings file of an edge or a storage node. Such a node reads the
// configuration, the runner list and the member sets from the platform's store.
//
// Some keys are accepted but have no effect, as the comments of their fields say:
// decoding is strict, and files that contain these keys must load.
type Role struct {
	// Cluster is the name of the deployment. Nodes of different clusters refuse
	// connections from each other.
	Cluster string `yaml:"cluster"`
	// Node is the node's name, unique in the cluster.
	Node string `yaml:"node"`
	// Zone is the node's failure domain. Region is the group of zones to which it
	// belongs.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Address is the IP address on which the node serves other nodes.
	Address string `yaml:"address"`
	// Ports holds the first and the last port available for traffic between
	// nodes. Only the first port is used.
	Ports []int `yaml:"ports"`
	// Listen gives the addresses on which the node serves callers, probes and
	// nodes that join.
	Listen RoleListen `yaml:"listen"`
	// DataFolder is the data folder of a storage node.
	DataFolder string `yaml:"data_folder"`
	// Seeds lists addresses (IP:port) of nodes to contact first. Addresses at which
	// no node answers are allowed.
	Seeds []string `yaml:"seeds"`
	// FirstStart is true when the whole deployment starts with empty disks. It is
	// logged but has no other effect.
	FirstStart bool `yaml:"first_start"`
	// DiskLosses is the number of disks that may be lost at once without losing
	// acknowledged data.
	DiskLosses int `yaml:"disk_losses"`
	// Store describes the platform's store.
	Store RoleStore `yaml:"store"`
	// Machine gives the resources that the node may use.
	Machine RoleMachine `yaml:"machine"`
	// Bounds holds the time limits and tolerances that the deployment guarantees
	// to callers and operators.
	Bounds RoleBounds `yaml:"bounds"`
	// Routing switches optional ways of cooperation between nodes on.
	Routing RoleRouting `yaml:"routing"`
}

// RoleRouting switches optional ways of cooperation between nodes on. All are off by
// default. BalanceZones and FairTenantShares take effect only if edges and storage nodes
// enable them.
type RoleRouting struct {
	// ForwardThroughPeers makes a node call a storage node through a peer while it has
	// no direct connection to the storage node.
	ForwardThroughPeers bool `yaml:"forward_through_peers"`
	// BalanceZones makes an edge send requests to the runners of another zone while the
	// runners of its own zone have no room.
	BalanceZones bool `yaml:"balance_zones"`
	// FairTenantShares makes an edge refuse requests of tenants with more than their fair
	// share of the slots first, while a service is full.
	FairTenantShares bool `yaml:"fair_tenant_shares"`
}

// RoleListen gives a node's listening addresses, each as IP:port.
type RoleListen struct {
	// Callers is the address of an edge's API for callers.
	Callers string `yaml:"callers"`
	// Readiness is the address of the readiness probe, which reports whether the
	// node accepts connections.
	Readiness string `yaml:"readiness"`
	// Peers is the address under which other nodes list this node as a seed.
	Peers string `yaml:"peers"`
	// MetricsPort is the port of the node's metrics; 0 disables them.
	MetricsPort int `yaml:"metrics_port"`
}

// RoleStore describes the platform's store.
type RoleStore struct {
	// Address is the store's IP:port.
	Address string `yaml:"address"`
	// WritesPerSecond and ReadsPerSecond are the store's rate limits for all
	// nodes together. Both are accepted but have no effect.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
	// ValueBytes is the maximum size of a value. It is accepted but has no effect.
	ValueBytes int `yaml:"value_bytes"`
	// HistorySeconds is how long the store keeps past changes for watches; 0
	// means unknown.
	HistorySeconds float64 `yaml:"history_seconds"`
}

// HistoryRetention returns how long the store keeps past changes for watches; 0
// means unknown.
func (s *RoleStore) HistoryRetention() time.Duration {
	return time.Duration(s.HistorySeconds * float64(time.Second))
}

// RoleMachine gives the resources that a node may use.
type RoleMachine struct {
	// MemoryMegabytes is the memory that the process may use, in MiB.
	MemoryMegabytes int `yaml:"memory_megabytes"`
	// Descriptors is the number of files that the process may have open; 0 means
	// unknown.
	Descriptors int `yaml:"descriptors"`
	// DiskMegabytes is the size of a storage node's disk, in MiB.
	DiskMegabytes int `yaml:"disk_megabytes"`
}

const (
	// callerDescriptorShare is the share of the descriptors that callers' connections may
	// use. Each request in progress needs another one for its runner.
	callerDescriptorShare = 0.4
	// callerMemoryShare is the share of the memory that callers' connections may use, and
	// callerConnectionBytes the memory of one with a request in progress.
	callerMemoryShare     = 0.2
	callerConnectionBytes = 48 << 10
	// responseMemoryShare is the share of the memory that large responses in progress may use
	// together.
	responseMemoryShare = 1.0 / 16
)

// ResponseMemory returns the number of bytes that large responses in progress may use together.
func (m *RoleMachine) ResponseMemory() int64 {
	return int64(responseMemoryShare * float64(m.MemoryMegabytes) * (1 << 20))
}

// CallerConnections returns the maximum number of connections of callers that the machine
// bears; 0 if its limits are unknown.
func (m *RoleMachine) CallerConnections() int {
	byDescriptors := int(callerDescriptorShare * float64(m.Descriptors))
	byMemory := int(callerMemoryShare * float64(m.MemoryMegabytes) * (1 << 20) / callerConnectionBytes)
	if byDescriptors == 0 || byMemory == 0 {
		return max(byDescriptors, byMemory)
	}
	return min(byDescriptors, byMemory)
}

// RoleBounds holds the time limits and tolerances that a deployment guarantees
// to callers and operators.
type RoleBounds struct {
	// DrainMilliseconds is how long a runner that leaves still accepts requests.
	DrainMilliseconds int `yaml:"drain_milliseconds"`
	// StopSeconds is the time from the stop signal until the process is killed.
	StopSeconds float64 `yaml:"stop_seconds"`
	// CancelMilliseconds is how long after the end of a job its items may still be
	// dispatched. It is accepted but has no effect.
	CancelMilliseconds int `yaml:"cancel_milliseconds"`
	// SettleMilliseconds is how long a read may miss an acknowledged write. It is
	// accepted but has no effect.
	SettleMilliseconds int `yaml:"settle_milliseconds"`
	// CatchUpSeconds is the maximum time until a disk that returns has all the data
	// it missed. It is accepted but has no effect.
	CatchUpSeconds float64 `yaml:"catch_up_seconds"`
	// ResultsKeptSeconds is how long a job remains readable after its submission.
	ResultsKeptSeconds float64 `yaml:"results_kept_seconds"`
	// QuotaWindowSeconds is the length of the window in which a tenant's requests
	// are counted. The count of a window may exceed the tenant's limit by
	// QuotaOverrun, a fraction of the limit, plus QuotaSlack requests.
	QuotaWindowSeconds float64 `yaml:"quota_window_seconds"`
	QuotaOverrun       float64 `yaml:"quota_overrun"`
	QuotaSlack         int     `yaml:"quota_slack"`
	// RevokeFailClosed makes a node refuse requests that need a key when the node
	// has been unable to confirm for RevokeMilliseconds that its configuration is
	// current.
	RevokeFailClosed   bool `yaml:"revoke_fail_closed"`
	RevokeMilliseconds int  `yaml:"revoke_milliseconds"`
}

// Defaults of the fields of Role.
const (
	defaultStopSeconds         = 8
	defaultResultsKeptSeconds  = 120
	defaultCatchUpSeconds      = 5
	defaultStoreValueBytes     = 1 << 20
	defaultRoleMemoryMegabytes = 256
	defaultRoleDiskMegabytes   = 512
	defaultDrainMilliseconds   = 2000
	defaultQuotaWindowSeconds  = 5
	defaultRevokeMilliseconds  = 5000
)

// LoadRole reads the settings file of an edge or a storage node, fills in
// defaults and validates it.
func LoadRole(path string) (*Role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading settings")
	}
	loaded, err := ParseRole(text)
	return loaded, trace.Wrap(err, "settings file %s", path)
}

// ParseRole decodes the settings of an edge or a storage node, fills in defaults
// and validates them.
func ParseRole(text []byte) (*Role, error) {
	var parsed Role
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("%s", strings.ReplaceAll(yaml.FormatError(err, false, false), "\n", " "))
	}
	parsed.setDefaults()
	if err := parsed.validate(); err != nil {
		return nil, addLineNumber(text, err)
	}
	return &parsed, nil
}

func (r *Role) setDefaults() {
	setDefault(&r.Bounds.StopSeconds, defaultStopSeconds)
	setDefault(&r.Bounds.ResultsKeptSeconds, defaultResultsKeptSeconds)
	setDefault(&r.Bounds.CatchUpSeconds, defaultCatchUpSeconds)
	setDefault(&r.Bounds.DrainMilliseconds, defaultDrainMilliseconds)
	setDefault(&r.Bounds.QuotaWindowSeconds, defaultQuotaWindowSeconds)
	setDefault(&r.Bounds.RevokeMilliseconds, defaultRevokeMilliseconds)
	setDefault(&r.Store.ValueBytes, defaultStoreValueBytes)
	setDefault(&r.Machine.MemoryMegabytes, defaultRoleMemoryMegabytes)
	setDefault(&r.Machine.DiskMegabytes, defaultRoleDiskMegabytes)
}

func (r *Role) validate() error {
	for _, name := range []struct{ path, value string }{{"cluster", r.Cluster}, {"node", r.Node}, {"zone", r.Zone}} {
		if !namePattern.MatchString(name.value) {
			return &FieldError{name.path, name.value, nameAllowed}
		}
	}
	if net.ParseIP(r.Address) == nil {
		return &FieldError{"address", r.Address, "an IP address"}
	}
	if len(r.Ports) == 0 || r.Ports[0] < 1 || r.Ports[0] > 65535 {
		return &FieldError{"ports", fmt.Sprint(r.Ports), "a list of a first and a last port, 1 to 65535"}
	}
	if !isIPPort(r.Store.Address) {
		return &FieldError{"store.address", r.Store.Address, "an IP address and a port, such as 10.0.0.7:7400"}
	}
	for _, bound := range []struct {
		path  string
		value float64
	}{
		{"bounds.quota_window_seconds", r.Bounds.QuotaWindowSeconds}, {"bounds.quota_overrun", r.Bounds.QuotaOverrun},
		{"bounds.quota_slack", float64(r.Bounds.QuotaSlack)}, {"bounds.revoke_milliseconds", float64(r.Bounds.RevokeMilliseconds)},
	} {
		if bound.value < 0 {
			return &FieldError{bound.path, fmt.Sprint(bound.value), "0 or more"}
		}
	}
	return r.validateListen()
}

func (r *Role) validateListen() error {
	addresses := []struct{ path, value string }{
		{"listen.callers", r.Listen.Callers}, {"listen.readiness", r.Listen.Readiness}, {"listen.peers", r.Listen.Peers},
	}
	for _, address := range addresses {
		if address.value != "" && !isIPPort(address.value) {
			return &FieldError{address.path, address.value, "an IP address and a port, or empty"}
		}
	}
	if r.Listen.MetricsPort < 0 || r.Listen.MetricsPort > 65535 {
		return &FieldError{"listen.metrics_port", fmt.Sprint(r.Listen.MetricsPort), "0 to 65535"}
	}
	if r.DiskLosses < 0 {
		return &FieldError{"disk_losses", fmt.Sprint(r.DiskLosses), "0 or more"}
	}
	return nil
}

// PeerAddress returns the IP:port on which the node serves other nodes.
func (r *Role) PeerAddress() string { return fmt.Sprintf("%s:%d", r.Address, r.Ports[0]) }

// StopTimeout returns the time from the stop signal until the process is killed.
func (r *Role) StopTimeout() time.Duration {
	return time.Duration(r.Bounds.StopSeconds * float64(time.Second))
}

// ResultRetention returns how long a job remains readable after its submission.
func (r *Role) ResultRetention() time.Duration {
	return time.Duration(r.Bounds.ResultsKeptSeconds * float64(time.Second))
}

// QuotaTolerance returns the quota settings of Bounds: by how much the requests of a
// tenant may exceed its rate limit within a window.
func (r *Role) QuotaTolerance() allotment.Tolerance {
	return allotment.Tolerance{
		Window:  time.Duration(r.Bounds.QuotaWindowSeconds * float64(time.Second)),
		Overrun: r.Bounds.QuotaOverrun, Slack: r.Bounds.QuotaSlack,
	}
}

// RevokeTime returns how long the configuration may be unconfirmed before requests
// that need a key are refused; 0 means that they are never refused for this reason.
func (r *Role) RevokeTime() time.Duration {
	if !r.Bounds.RevokeFailClosed {
		return 0
	}
	return time.Duration(r.Bounds.RevokeMilliseconds) * time.Millisecond
}

// DrainTime returns how long a runner that leaves still accepts requests.
func (r *Role) DrainTime() time.Duration {
	return time.Duration(r.Bounds.DrainMilliseconds) * time.Millisecond
}
