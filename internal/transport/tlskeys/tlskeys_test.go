package tlskeys_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/transport/tlskeys"
	"cobaltramp.example/cobaltramp/lab/keys"
)

func serial(t *testing.T, certificate *tls.Certificate) string {
	t.Helper()
	parsed, err := x509.ParseCertificate(certificate.Certificate[0])
	is.New(t).NoErr(err)
	return parsed.SerialNumber.String()
}

// Changed files are loaded without a restart. If they are invalid, the previous pair stays
// in use.
func TestPairReloadsChangedFiles(t *testing.T) {
	is := is.New(t)
	authority, err := keys.NewAuthority(t.TempDir())
	is.NoErr(err)
	certificate, key, err := authority.Issue("node")
	is.NoErr(err)
	pair, err := tlskeys.LoadPair(certificate, key)
	is.NoErr(err)
	first := serial(t, pair.Current())

	_, _, err = authority.Issue("node")
	is.NoErr(err)
	later := time.Now().Add(time.Hour)
	is.NoErr(os.Chtimes(certificate, later, later))
	replaced := waitFor(func() bool { return serial(t, pair.Current()) != first })
	is.True(replaced) // the new pair is in use
	second := serial(t, pair.Current())

	is.NoErr(os.WriteFile(key, []byte("not a key"), 0o600))
	latest := later.Add(time.Hour)
	is.NoErr(os.Chtimes(key, latest, latest))
	time.Sleep(1100 * time.Millisecond) // longer than checkInterval
	is.Equal(serial(t, pair.Current()), second)
}

func waitFor(condition func() bool) bool {
	for range 200 {
		if condition() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func TestMutualTLSRejectsForeignAuthority(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	authority, err := keys.NewAuthority(folder)
	is.NoErr(err)
	foreignAuthority, err := keys.NewAuthority(t.TempDir())
	is.NoErr(err)
	mutual := func(a *keys.Authority, name string) *tlskeys.MutualTLS {
		certificate, key, err := a.Issue(name)
		is.NoErr(err)
		loaded, err := tlskeys.LoadMutualTLS(certificate, key, authority.CertificateFile)
		is.NoErr(err)
		return loaded
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tlsConn := tls.Server(conn, mutual(authority, "server").Server())
			if tlsConn.Handshake() == nil {
				_, _ = tlsConn.Write([]byte("ok"))
			}
			_ = tlsConn.Close()
		}
	}()
	read := func(client *tlskeys.MutualTLS) error {
		conn, err := tls.Dial("tcp", listener.Addr().String(), client.Client())
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, 2))
		return err
	}
	is.NoErr(read(mutual(authority, "client")))
	is.True(read(mutual(foreignAuthority, "intruder")) != nil) // signed by a foreign authority
}
