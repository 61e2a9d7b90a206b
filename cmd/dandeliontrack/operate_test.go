package main

import (
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/jx"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
	"dandeliontrack.example/dandeliontrack/pkg/api"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against commands that can't connect to a TLS listener, that trust a
// certificate of another authority, or that accept an invalid authority file.
func TestCommandsVerifyServerCertificate(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"service":"s","lifetime":1,"version":1,"hosts":[]}`)
	}))
	defer server.Close()
	write := func(name string, content []byte) string {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(path, content, 0o600))
		return path
	}
	good := write("good.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	for name, test := range map[string]struct {
		authority string
		want      int
	}{
		"right authority":  {good, 0},
		"no certificate":   {write("bad.pem", []byte("nothing")), classifier.Invalid.ExitCode()},
		"no such file":     {good + ".gone", classifier.Invalid.ExitCode()},
		"without TLS":      {"", classifier.Unreachable.ExitCode()},
		"untrusted server": {write("other.pem", []byte(unrelatedAuthorityPEM)), classifier.Unreachable.ExitCode()},
	} {
		t.Run(name, func(t *testing.T) {
			c := &lookupCommand{To: server.Listener.Addr().String(), tlsOptions: tlsOptions{Authority: test.authority}}
			c.Args.Service = "s"
			err := c.Execute(nil)
			if test.want == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, classifier.Of(err).ExitCode(), test.want, "%v", err)
		})
	}
}

// unrelatedAuthorityPEM is the certificate of an authority that signed nothing.
const unrelatedAuthorityPEM = `-----BEGIN CERTIFICATE-----
MIIBeDCCAR2gAwIBAgIUTGGma8EbZVzejXhhoxJnbVivP1IwCgYIKoZIzj0EAwIw
EDEOMAwGA1UEAwwFb3RoZXIwIBcNMjYxMjA0MDYzMDUwWhgPMjEyNjExMTAwNjMw
NTBaMBAxDjAMBgNVBAMMBW90aGVyMFkwEwYHKoZIzj0CAQYIKoZIzj0DAQcDQgAE
oH33EGHDFmFqp8zJlNWP6GRz/XD3KpyKV0VgfQf1JgOXWkwtXxw2QyKrmhUco6Ff
5c2jZTWeYA9cQEJsvSOlwKNTMFEwHQYDVR0OBBYEFEm6b+u9wh1e3hPRFka0Es4Q
sZLdMB8GA1UdIwQYMBaAFEm6b+u9wh1e3hPRFka0Es4QsZLdMA8GA1UdEwEB/wQF
MAMBAf8wCgYIKoZIzj0EAwIDSQAwRgIhAPHNvm0XMoqUfA4EsKYg0ZwiC79xHGcU
yvNUQUQ0D/CYAiEA/PgKg/TlYQHuvfB+t+sNWWGKdpQMAteHuwP3VF2QA+8=
-----END CERTIFICATE-----
`

// Guards against a command that takes an invalid response of a host for its answer.
func TestInvalidResponseOfHostIsRefused(t *testing.T) {
	for name, response := range responder.Invalid("Content-Type: application/json\r\n", `{"service":"s","lifetime":1,"version":1,"hosts":[]}`) {
		t.Run(name, func(t *testing.T) {
			client, err := tlsOptions{}.newClient(responder.New(t, response).Address)
			assert.NilError(t, err)
			_, err = client.Lookup(t.Context(), api.LookupParams{Service: "s"})
			assert.Assert(t, err != nil)
			assert.Equal(t, classifier.Of(toClassifiedError(err)), classifier.Unreachable, "%v", err)
		})
	}
}

// Guards against a publication that succeeds although the host broke off the connection before it
// had read the note, if the response has no length.
func TestPublicationOnFailedConnectionIsRefused(t *testing.T) {
	const tries = 20 // the kernel reports a reset either to the writer or to the reader
	const response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + `{"id":"a","version":1,"chain":"c","repeated":false}`
	plain := responder.NewEarly(t, response, responder.Reset)
	encrypted, certificate := responder.NewEarlyTLS(t, response, responder.Reset)
	authority := filepath.Join(t.TempDir(), "authority.pem")
	assert.NilError(t, os.WriteFile(authority, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Raw}), 0o600))
	for name, c := range map[string]struct {
		host *responder.Responder
		tls  tlsOptions
	}{"without TLS": {plain, tlsOptions{}}, "with TLS": {encrypted, tlsOptions{Authority: authority}}} {
		t.Run(name, func(t *testing.T) {
			client, err := c.tls.newClient(c.host.Address)
			assert.NilError(t, err)
			note := api.Note{"routes": jx.Raw(`"` + strings.Repeat("x", 16<<20) + `"`)}
			for range tries {
				_, err = client.Publish(t.Context(), note)
				assert.Equal(t, classifier.Of(toClassifiedError(err)), classifier.Unreachable, "%v", err)
			}
			assert.Equal(t, c.host.Requests("/"), tries)
		})
	}
}
