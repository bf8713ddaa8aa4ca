// Package tlskeys loads TLS key pairs from files and reloads them when the files change,
// so that keys can be replaced without a restart.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Pair is a certificate and its private key, which are reloaded when their files change.
// If a file is missing or the changed files cannot be loaded, the previous pair stays in
// use. Each reload and each failed reload is logged.
type Pair struct {
	certificate, key string

	mutex       sync.Mutex
	loaded      *tls.Certificate
	modified    time.Time
	lastChecked time.Time
}

// LoadPair loads a pair from the files with the certificate and the key.
func LoadPair(certificate, key string) (*Pair, error) {
	p := &Pair{certificate: certificate, key: key}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Pair) load() error {
	modified, err := p.modTime()
	if err != nil {
		return trace.Wrap(err, "checking the key files")
	}
	loaded, err := tls.LoadX509KeyPair(p.certificate, p.key)
	if err != nil {
		return trace.BadParameter("certificate %s with key %s: %v", p.certificate, p.key, err)
	}
	p.loaded = &loaded
	p.modified = modified
	return nil
}

func (p *Pair) modTime() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{p.certificate, p.key} {
		info, err := os.Stat(path)
		if err != nil {
			return latest, trace.ConvertSystemError(err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// Current returns the certificate in use. At most once per checkInterval, it checks the
// modification times of the files and reloads the pair if the later time has changed.
func (p *Pair) Current() *tls.Certificate {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now := time.Now(); now.Sub(p.lastChecked) >= checkInterval {
		p.lastChecked = now
		p.reloadIfChanged()
	}
	return p.loaded
}

func (p *Pair) reloadIfChanged() {
	modified, err := p.modTime()
	if err != nil || modified.Equal(p.modified) {
		return
	}
	if err := p.load(); err != nil {
		klog.ErrorS(err, "reloading the key pair failed; the previous pair stays in use", "certificate", p.certificate)
		return
	}
	klog.InfoS("key pair reloaded", "certificate", p.certificate)
}

// Server returns a configuration for TLS servers that use the pair.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Current(), nil },
	}
}

// MutualTLS provides the TLS configurations of connections between nodes. Both sides must
// present a certificate that is signed by the nodes' certificate authority.
type MutualTLS struct {
	pair      *Pair
	authority *x509.CertPool
}

// LoadMutualTLS loads the key pair of a node and the certificate of the nodes' certificate
// authority from files. The authority's certificate is not reloaded when its file changes.
func LoadMutualTLS(certificate, key, authority string) (*MutualTLS, error) {
	pair, err := LoadPair(certificate, key)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading the certificate of the nodes' authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, trace.BadParameter("file %s of the nodes' authority holds no PEM certificate", authority)
	}
	return &MutualTLS{pair: pair, authority: pool}, nil
}

// Server returns the configuration for accepted connections.
func (m *MutualTLS) Server() *tls.Config {
	config := m.pair.Server()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = m.authority
	return config
}

// Client returns the configuration for dialled connections. Nodes are dialled by IP
// address, so their certificates must contain their IP addresses.
func (m *MutualTLS) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    m.authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return m.pair.Current(), nil
		},
	}
}
