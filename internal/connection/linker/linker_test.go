package linker

import (
	"context"
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
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue creates a new certificate authority and a certificate for 127.0.0.1 signed by it.
func issue(t *testing.T) loader.Peer {
	t.Helper()
	dir := t.TempDir()
	p := loader.Peer{
		Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key"), Authority: filepath.Join(dir, "authority.pem"),
	}
	make509 := func(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		assert.NilError(t, err)
		if signer == nil {
			signer = key
		}
		der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
		assert.NilError(t, err)
		return key, der
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caKey, caDER := make509(ca, ca, nil)
	writePEM(t, p.Authority, "CERTIFICATE", caDER)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	key, der := make509(leaf, ca, caKey)
	writePEM(t, p.Certificate, "CERTIFICATE", der)
	raw, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, p.Key, "EC PRIVATE KEY", raw)
	return p
}

func host(t *testing.T, p loader.Peer, h Handler) *Linker {
	t.Helper()
	l, err := New(p, h)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	return l
}

func serve(t *testing.T, l *Linker) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = l.Serve(listener) }()
	return listener.Addr().String()
}

func echo(_ context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	if e.GetFrom() == "" {
		return nil, classifier.NotReady.New("starting")
	}
	return e, nil
}

// Guards against a session with a host whose certificate is missing or signed by another
// authority, in either direction.
func TestMutualTLSIsRequired(t *testing.T) {
	good, other, plain := issue(t), issue(t), loader.Peer{Plain: true}
	// foreign trusts the authority of the server but presents a certificate of another.
	foreign := loader.Peer{Certificate: other.Certificate, Key: other.Key, Authority: good.Authority}
	for name, c := range map[string]struct {
		server, client loader.Peer
		works          bool
	}{
		"same authority":                        {good, good, true},
		"both plain":                            {plain, plain, true},
		"wrong authority on both sides":         {good, other, false},
		"server rejects the caller's authority": {good, foreign, false},
		"plain client":                          {good, plain, false},
		"plain server":                          {plain, good, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, host(t, c.server, echo))
			client := host(t, c.client, echo)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			reply, err := client.Call(ctx, address, &framer.Envelope{From: "h1"})
			assert.Equal(t, err == nil, c.works, "%v", err)
			if c.works {
				assert.Equal(t, reply.GetFrom(), "h1")
			}
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		address := serve(t, host(t, good, echo))
		client := host(t, good, echo)
		client.security.certificate.Certificate = nil
		_, err := client.Call(t.Context(), address, &framer.Envelope{From: "h1"})
		assert.Assert(t, err != nil)
	})
}

// Guards against a new session for each call, error kinds that are lost on the way, and
// counts that miss messages.
func TestCallsShareOneSession(t *testing.T) {
	server := host(t, loader.Peer{Plain: true}, echo)
	address := serve(t, server)
	client := host(t, loader.Peer{Plain: true}, echo)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			_, err := client.Call(t.Context(), address, &framer.Envelope{From: "h1"})
			assert.Check(t, err)
		})
	}
	wg.Wait()
	_, err := client.Call(t.Context(), address, new(framer.Envelope))
	assert.Equal(t, classifier.Of(err), classifier.NotReady)
	assert.Equal(t, len(server.sessionSlots), 1)
	counts := client.PeerCounts()[address]
	assert.Equal(t, counts, client.Counts())
	assert.Equal(t, counts.MessagesOut, uint64(101))
	assert.Assert(t, counts.BytesOut > 101*20)
}

// Guards against calls that hang on a host that accepts connections but never responds,
// and against reuse of that connection afterwards.
func TestUnresponsiveSessionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client := host(t, loader.Peer{Plain: true}, echo)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Call(ctx, listener.Addr().String(), new(framer.Envelope))
	assert.Equal(t, classifier.Of(err), classifier.TimedOut, "%v", err)
	assert.Assert(t, client.peers[listener.Addr().String()].currentSession() == nil)
}

// Guards against dialling an unreachable host on every call.
func TestFailedDialsBackOff(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	client := host(t, loader.Peer{Plain: true}, echo)
	address := listener.Addr().String()
	for range 200 {
		_, err := client.Call(t.Context(), address, new(framer.Envelope))
		assert.Equal(t, classifier.Of(err), classifier.Unreachable)
	}
	assert.Assert(t, client.peers[address].failures < 100, "%d dials", client.peers[address].failures)
}

// failingListener fails the first Accept as if the process had no file descriptors left.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends, with all requests in flight, because it has no file
// descriptors left for a moment.
func TestServeRetriesAfterAcceptError(t *testing.T) {
	p := issue(t)
	server := host(t, p, func(_ context.Context, e *framer.Envelope) (*framer.Envelope, error) { return e, nil })
	reported := make(chan error, 1)
	server.OnAcceptError(func(err error) { reported <- err })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(&failingListener{Listener: listener}) }()
	_, err = host(t, p, nil).Call(t.Context(), listener.Addr().String(), &framer.Envelope{})
	assert.NilError(t, err)
	assert.ErrorIs(t, <-reported, syscall.EMFILE)
}

// Guards against a session that is never closed, because its host is deleted as idle when a
// call to it begins.
func TestHostIsNotIdleWhenCallBegins(t *testing.T) {
	client := host(t, loader.Peer{Plain: true}, echo)
	p, err := client.peer("127.0.0.1:1")
	assert.NilError(t, err)
	p.lastUsed = time.Now().Add(-2 * idleTimeout)
	_, err = client.peer("127.0.0.1:1")
	assert.NilError(t, err)
	assert.Assert(t, !p.closeIdle(time.Now()))
}
