package settings

import (
	"bytes"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// FieldError reports an invalid value of a field.
type FieldError struct {
	// Path is the field's path, for example "node.zone".
	Path string
	// Found is the field's value or a description of it.
	Found string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %q, allowed: %s", e.Path, e.Found, e.Allowed)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$`)

const nameAllowed = "1 to 63 letters, digits, dots, colons, dashes or underscores, starting with a letter or digit"

// Validate checks the fields after SetDefaults and returns a *FieldError for the
// first invalid field.
func (s *Settings) Validate() error {
	checks := []func() error{s.checkNames, s.checkAddresses, s.checkPlatform, s.checkNumbers, s.checkTLS}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	names := []struct{ path, value string }{
		{"cluster", s.Cluster}, {"node.region", s.Node.Region}, {"node.zone", s.Node.Zone}, {"node.id", s.Node.ID},
	}
	for _, name := range names {
		if !namePattern.MatchString(name.value) {
			return &FieldError{name.path, name.value, nameAllowed}
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []struct{ path, value string }{
		{"node.internal_address", s.Node.InternalAddress},
		{"node.api_address", s.Node.APIAddress},
		{"node.admin_address", s.Node.AdminAddress},
	}
	for _, address := range addresses {
		if !isIPPort(address.value) {
			return &FieldError{address.path, address.value, "an IP address and a port, such as 10.0.0.7:7400"}
		}
	}
	return nil
}

func isIPPort(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		return false
	}
	return net.ParseIP(host) != nil
}

func (s *Settings) checkPlatform() error {
	urls := []struct{ path, value string }{
		{"platform.key_value", s.Platform.KeyValue},
		{"platform.machines", s.Platform.Machines},
		{"platform.runners", s.Platform.Runners},
	}
	for _, item := range urls {
		parsed, err := url.Parse(item.value)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			return &FieldError{item.path, item.value, "a URL such as http://10.0.0.1:2379"}
		}
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	if s.Data.Shards < 1 || s.Data.Shards > MaxShards {
		return &FieldError{"data.shards", fmt.Sprint(s.Data.Shards), fmt.Sprintf("1 to %d", MaxShards)}
	}
	if s.Data.ReserveBytes < 0 {
		return &FieldError{"data.reserve_bytes", fmt.Sprint(s.Data.ReserveBytes), "0 or more bytes"}
	}
	if s.Platform.RequestsPerSecond <= 0 {
		return &FieldError{"platform.requests_per_second", fmt.Sprint(s.Platform.RequestsPerSecond), "more than 0"}
	}
	if s.Platform.ListInterval.Duration < minListInterval {
		return &FieldError{"platform.list_interval", s.Platform.ListInterval.String(), "100ms or more"}
	}
	if s.Limits.BodyBytes < minBodyBytes {
		return &FieldError{"limits.body_bytes", fmt.Sprint(s.Limits.BodyBytes), "1024 or more"}
	}
	return nil
}

const (
	// MaxShards is the maximum number of batch shards.
	MaxShards = 4096
	// minListInterval is the minimum of platform.list_interval. It limits the rate
	// at which a node reads the platform's lists.
	minListInterval = 100 * time.Millisecond
	// minBodyBytes is the minimum of limits.body_bytes; a short request fits in it.
	minBodyBytes = 1024
)

func (s *Settings) checkTLS() error {
	pairs := []struct {
		path string
		pair KeyPair
	}{{"tls.api", s.TLS.API}, {"tls.nodes", s.TLS.Nodes}}
	for _, item := range pairs {
		if item.pair.IsSet() && (item.pair.Certificate == "" || item.pair.Key == "") {
			return &FieldError{item.path, "only one of the two paths", "both certificate and key, or neither"}
		}
	}
	if s.TLS.Nodes.IsSet() && s.TLS.NodesAuthority == "" {
		return &FieldError{"tls.nodes_authority", "", "the path of the nodes' certificate authority"}
	}
	return nil
}

// addLineNumber adds the line of the invalid field to a *FieldError, or says that
// the field is missing from the text. It returns other errors unchanged.
func addLineNumber(text []byte, err error) error {
	field, ok := err.(*FieldError)
	if !ok {
		return trace.Wrap(err)
	}
	path, pathErr := yaml.PathString("$." + field.Path)
	if pathErr != nil {
		return trace.BadParameter("%v", field)
	}
	node, nodeErr := path.ReadNode(bytes.NewReader(text))
	if nodeErr != nil || node == nil {
		return trace.BadParameter("%v (the field is missing)", field)
	}
	return trace.BadParameter("line %d: %v", node.GetToken().Position.Line, field)
}
