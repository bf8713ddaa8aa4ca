// Package keys creates a certificate authority and key pairs for tests and the lab.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// Authority is a certificate authority. CertificateFile is the path of its certificate.
type Authority struct {
	CertificateFile string
	folder          string
	certificate     *x509.Certificate
	key             *ecdsa.PrivateKey
	serial          int64
}

// certificateLifetime is the validity period of all certificates.
const certificateLifetime = 24 * time.Hour

// NewAuthority creates an authority that writes its files to a folder.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "lab authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Authority{CertificateFile: filepath.Join(folder, "authority.pem"), folder: folder, certificate: certificate, key: key, serial: 1}
	return a, writePEM(a.CertificateFile, "CERTIFICATE", encoded)
}

// Issue creates a key pair for 127.0.0.1 with a common name, signs it, and returns the
// paths of the two files. A second call with the same name replaces the files.
func (a *Authority) Issue(name string) (certificateFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	certificateFile, keyFile = filepath.Join(a.folder, name+".pem"), filepath.Join(a.folder, name+".key")
	if err := writePEM(certificateFile, "CERTIFICATE", encoded); err != nil {
		return "", "", err
	}
	return certificateFile, keyFile, writePEM(keyFile, "PRIVATE KEY", private)
}

func writePEM(path, kind string, content []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	return trace.ConvertSystemError(os.WriteFile(path, text, 0o600))
}
