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

// security makes connections between hosts secure. The zero value leaves them
// plain.
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

func (s security) server(ctx context.Context, conn net.Conn) (net.Conn, error) {
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

// client also checks that the certificate names the IP address that was
// dialled, so one host can't answer for another.
func (s security) client(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
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
