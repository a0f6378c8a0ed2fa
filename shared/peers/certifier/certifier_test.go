package certifier_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/process/classifier"
)

const year = 365 * 24 * time.Hour

var (
	start = time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)
	entry = certifier.Identity{
		Name: "entry-a1",
		Role: "entry",
		Zone: "a",
	}
)

func clockAt(now time.Time) certifier.CheckerOption {
	return certifier.WithClock(func() time.Time { return now })
}

func authority(t *testing.T) certifier.KeyPair {
	t.Helper()
	pr, err := certifier.NewAuthority("example", start, 10*year)
	must.NoError(t, err)
	return pr
}

func issue(t *testing.T, issuer certifier.KeyPair, now time.Time, lifetime time.Duration) certifier.KeyPair {
	t.Helper()
	pr, err := certifier.Issue(issuer, entry, now, lifetime)
	must.NoError(t, err)
	return pr
}

func TestCheckerAcceptsOnlyPeersOfItsAuthority(t *testing.T) {
	issuer, other := authority(t), authority(t)
	cr, err := certifier.NewChecker(issuer.Certificate, issue(t, issuer, start, year), clockAt(start))
	must.NoError(t, err)
	must.Eq(t, entry, cr.Identity())
	must.Eq(t, "example", certifier.OrganisationOf(issue(t, issuer, start, year).Certificate))
	expired := issue(t, issuer, start.Add(-2*year), year)
	future := issue(t, issuer, start.Add(year), year)
	cases := map[string]struct {
		certificate *x509.Certificate
		code        classifier.Code
	}{
		"own authority":                {certificate: issue(t, issuer, start, year).Certificate},
		"other authority":              {certificate: issue(t, other, start, year).Certificate, code: classifier.PeerUnauthorised},
		"expired":                      {certificate: expired.Certificate, code: classifier.PeerUnauthorised},
		"not valid yet":                {certificate: future.Certificate, code: classifier.PeerUnauthorised},
		"certificate of the authority": {certificate: issuer.Certificate, code: classifier.PeerUnauthorised},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			id, err := cr.Check(tc.certificate)
			must.Eq(t, tc.code, classifier.CodeOf(err))
			if tc.code == classifier.OK {
				must.Eq(t, entry, id)
			}
		})
	}
}

func TestMutualTLSRejectsUntrustedPeersOnBothSides(t *testing.T) {
	issuer, other := authority(t), authority(t)
	checker := func(issuer certifier.KeyPair) *certifier.Checker {
		cr, err := certifier.NewChecker(issuer.Certificate, issue(t, issuer, start, year), clockAt(start))
		must.NoError(t, err)
		return cr
	}
	trusted, untrusted := checker(issuer).TLS("test"), checker(other).TLS("test")
	withoutCertificate := trusted.Clone()
	withoutCertificate.Certificates = nil
	onlyTLS12 := trusted.Clone()
	onlyTLS12.MinVersion = tls.VersionTLS12
	onlyTLS12.MaxVersion = tls.VersionTLS12
	must.NoError(t, handshake(t, trusted, checker(issuer).TLS("test")))
	must.Error(t, handshake(t, trusted, untrusted))
	must.Error(t, handshake(t, untrusted, trusted))
	must.Error(t, handshake(t, trusted, withoutCertificate))
	must.Error(t, handshake(t, trusted, onlyTLS12))
}

// handshake runs a TLS handshake and returns the server's error.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return
		}
		_ = tls.Client(conn, client).HandshakeContext(t.Context())
	}()
	conn, err := listener.Accept()
	must.NoError(t, err)
	defer conn.Close()
	return tls.Server(conn, server).HandshakeContext(t.Context())
}

func TestExpiryWarning(t *testing.T) {
	issuer := authority(t)
	long := issue(t, issuer, start, year).Certificate
	short := issue(t, issuer, start, 9*time.Hour).Certificate
	must.Eq(t, "", certifier.ExpiryWarning(long, start.Add(300*24*time.Hour)))
	must.Eq(t, "expires in 15 days", certifier.ExpiryWarning(long, start.Add(350*24*time.Hour)))
	must.Eq(t, "expired", certifier.ExpiryWarning(long, start.Add(year)))
	must.Eq(t, "not valid yet", certifier.ExpiryWarning(long, start.Add(-time.Hour)))
	must.Eq(t, "", certifier.ExpiryWarning(short, start))
	must.Eq(t, "expires in 0 days", certifier.ExpiryWarning(short, start.Add(8*time.Hour)))
	capped := issue(t, issuer, start, 20*year).Certificate
	must.True(t, capped.NotAfter.Equal(issuer.Certificate.NotAfter))
}

func TestKeyFilesArePrivateAndNotOverwritten(t *testing.T) {
	issuer := authority(t)
	dir := t.TempDir()
	crt, key := filepath.Join(dir, "a.crt"), filepath.Join(dir, "a.key")
	must.NoError(t, certifier.WriteKeyPair(issuer, crt, key, false))
	info, err := os.Stat(key)
	must.NoError(t, err)
	must.Eq(t, os.FileMode(0o600), info.Mode())
	before, err := os.ReadFile(key)
	must.NoError(t, err)
	next := issue(t, issuer, start, year)
	must.Eq(t, classifier.KeysInvalid, classifier.CodeOf(certifier.WriteKeyPair(next, crt, key, false)))
	must.NoError(t, os.Remove(crt))
	must.Eq(t, classifier.KeysInvalid, classifier.CodeOf(certifier.WriteKeyPair(next, crt, key, false)))
	after, err := os.ReadFile(key)
	must.NoError(t, err)
	must.Eq(t, before, after)
	must.FileNotExists(t, crt)
	must.NoError(t, certifier.WriteKeyPair(next, crt, key, true))
	read, err := certifier.ReadKeyPair(crt, key)
	must.NoError(t, err)
	must.True(t, read.Certificate.Equal(next.Certificate))
}

func TestInvalidFilesAreKeysInvalid(t *testing.T) {
	issuer := authority(t)
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	must.NoError(t, certifier.WriteKeyPair(issuer, path("ca.crt"), path("ca.key"), false))
	must.NoError(t, certifier.WriteKeyPair(issue(t, issuer, start, year), path("a.crt"), path("a.key"), false))
	must.NoError(t, os.WriteFile(path("empty"), nil, 0o600))
	must.NoError(t, os.WriteFile(path("noise"), []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"), 0o600))
	keyData, err := os.ReadFile(path("a.key"))
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path("open.key"), keyData, 0o644))
	cases := map[string][3]string{
		"absent":                          {"none", "a.crt", "a.key"},
		"empty":                           {"ca.crt", "empty", "a.key"},
		"noise":                           {"noise", "a.crt", "a.key"},
		"key of another certificate":      {"ca.crt", "a.crt", "ca.key"},
		"key in place of the certificate": {"ca.crt", "a.key", "a.key"},
		"key readable by others":          {"ca.crt", "a.crt", "open.key"},
		"not signed by the authority":     {"a.crt", "ca.crt", "ca.key"},
	}
	for name, files := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := certifier.LoadChecker(path(files[0]), path(files[1]), path(files[2]), clockAt(start))
			must.Eq(t, classifier.KeysInvalid, classifier.CodeOf(err))
		})
	}
	_, err = certifier.LoadChecker(path("ca.crt"), path("a.crt"), path("a.key"), clockAt(start))
	must.NoError(t, err)
}
