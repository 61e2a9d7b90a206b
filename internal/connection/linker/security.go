package linker

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"dandeliontrack.example/dandeliontrack/internal/process/loader"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// security wraps connections between hosts in mutual TLS 1.3. The zero value leaves them
// in plain text.
type security struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func newSecurity(p loader.Peer) (security, error) {
	if p.Plain {
		return security{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return security{}, classifier.Invalid.Wrap(err, "peer certificate")
	}
	raw, err := os.ReadFile(p.Authority)
	if err != nil {
		return security{}, classifier.Invalid.Wrap(err, "peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return security{}, classifier.Invalid.New("peer authority: %s holds no PEM certificate", p.Authority)
	}
	return security{certificate, pool}, nil
}

func (s security) serverHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.authority == nil {
		return conn, nil
	}
	c := tls.Server(conn, &tls.Config{
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.authority,
		MinVersion:   tls.VersionTLS13,
	})
	return c, c.HandshakeContext(ctx)
}

// clientHandshake also checks that the certificate of the other host is valid for the IP
// address that was dialled, so that no host can impersonate another.
func (s security) clientHandshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	if s.authority == nil {
		return conn, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	c := tls.Client(conn, &tls.Config{
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authority,
		ServerName:   host,
		MinVersion:   tls.VersionTLS13,
	})
	return c, c.HandshakeContext(ctx)
}
