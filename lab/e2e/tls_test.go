package e2e

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/lab/keys"
)

// Online requests and batch jobs work with TLS for callers and mutual TLS between nodes,
// and plain HTTP is refused.
func TestTLSForCallersAndBetweenNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	authority, err := keys.NewAuthority(t.TempDir())
	is.NoErr(err)
	spec := topology(3, 2)
	spec.ChangeSettings = func(loaded *settings.Settings) error {
		certificate, key, err := authority.Issue(loaded.Node.ID)
		loaded.TLS.API = settings.KeyPair{Certificate: certificate, Key: key}
		loaded.TLS.Nodes, loaded.TLS.NodesAuthority = loaded.TLS.API, authority.CertificateFile
		return err
	}
	deployment := startDeployment(t, spec)
	pool := x509.NewCertPool()
	pem, err := os.ReadFile(authority.CertificateFile)
	is.NoErr(err)
	is.True(pool.AppendCertsFromPEM(pem))
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	api := openai.NewClient(option.WithBaseURL("https://"+deployment.APIAddresses()[0]+"/v1"), option.WithAPIKey(tenantKey.Key), option.WithHTTPClient(secure), option.WithMaxRetries(0))
	answer, err := api.Chat.Completions.New(callContext(t), chatParams("over tls", 10))
	is.NoErr(err)
	is.Equal(answer.Choices[0].Message.Content, expectedAnswer("over tls", 10))
	batchThroughClient(t, api)

	plain := client(deployment, 0)
	_, err = plain.Chat.Completions.New(callContext(t), chatParams("in the clear", 10))
	is.True(err != nil) // plain HTTP is not served
}
