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

func issue(t *testing.T, by certifier.KeyPair, now time.Time, lifetime time.Duration) certifier.KeyPair {
	t.Helper()
	pr, err := certifier.Issue(by, entry, now, lifetime)
	must.NoError(t, err)
	return pr
}

func TestCheckerKnowsPeersOfItsAuthorityOnly(t *testing.T) {
	by, other := authority(t), authority(t)
	cr, err := certifier.NewChecker(by.Certificate, issue(t, by, start, year), clockAt(start))
	must.NoError(t, err)
	must.Eq(t, entry, cr.Identity())
	must.Eq(t, "example", certifier.OrganisationOf(issue(t, by, start, year).Certificate))
	expired := issue(t, by, start.Add(-2*year), year)
	future := issue(t, by, start.Add(year), year)
	cases := map[string]struct {
		certificate *x509.Certificate
		code        classifier.Code
	}{
		"own authority":   {certificate: issue(t, by, start, year).Certificate},
		"other authority": {certificate: issue(t, other, start, year).Certificate, code: classifier.PeerUnauthorised},
		"expired":         {certificate: expired.Certificate, code: classifier.PeerUnauthorised},
		"not valid yet":   {certificate: future.Certificate, code: classifier.PeerUnauthorised},
		"the authority":   {certificate: by.Certificate, code: classifier.PeerUnauthorised},
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

func TestMutualTLSRefusesStrangersOnBothSides(t *testing.T) {
	by, other := authority(t), authority(t)
	checker := func(by certifier.KeyPair) *certifier.Checker {
		cr, err := certifier.NewChecker(by.Certificate, issue(t, by, start, year), clockAt(start))
		must.NoError(t, err)
		return cr
	}
	known, stranger := checker(by).TLS("test"), checker(other).TLS("test")
	bare := known.Clone()
	bare.Certificates = nil
	old := known.Clone()
	old.MinVersion = tls.VersionTLS12
	old.MaxVersion = tls.VersionTLS12
	must.NoError(t, shake(t, known, checker(by).TLS("test")))
	must.Error(t, shake(t, known, stranger))
	must.Error(t, shake(t, stranger, known))
	must.Error(t, shake(t, known, bare))
	must.Error(t, shake(t, known, old))
}

// shake returns the server's error of a handshake.
func shake(t *testing.T, server, client *tls.Config) error {
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

func TestWarningOfExpiry(t *testing.T) {
	by := authority(t)
	long := issue(t, by, start, year).Certificate
	short := issue(t, by, start, 9*time.Hour).Certificate
	must.Eq(t, "", certifier.ExpiryWarning(long, start.Add(300*24*time.Hour)))
	must.Eq(t, "expires in 15 days", certifier.ExpiryWarning(long, start.Add(350*24*time.Hour)))
	must.Eq(t, "expired", certifier.ExpiryWarning(long, start.Add(year)))
	must.Eq(t, "not valid yet", certifier.ExpiryWarning(long, start.Add(-time.Hour)))
	must.Eq(t, "", certifier.ExpiryWarning(short, start))
	must.Eq(t, "expires in 0 days", certifier.ExpiryWarning(short, start.Add(8*time.Hour)))
	capped := issue(t, by, start, 20*year).Certificate
	must.True(t, capped.NotAfter.Equal(by.Certificate.NotAfter))
}

func TestFilesAreSecretAndNotOverwritten(t *testing.T) {
	by := authority(t)
	dir := t.TempDir()
	crt, key := filepath.Join(dir, "a.crt"), filepath.Join(dir, "a.key")
	must.NoError(t, certifier.WriteKeyPair(by, crt, key, false))
	info, err := os.Stat(key)
	must.NoError(t, err)
	must.Eq(t, os.FileMode(0o600), info.Mode())
	before, err := os.ReadFile(key)
	must.NoError(t, err)
	next := issue(t, by, start, year)
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

func TestBadFilesAreKeysInvalid(t *testing.T) {
	by := authority(t)
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	must.NoError(t, certifier.WriteKeyPair(by, path("ca.crt"), path("ca.key"), false))
	must.NoError(t, certifier.WriteKeyPair(issue(t, by, start, year), path("a.crt"), path("a.key"), false))
	must.NoError(t, os.WriteFile(path("empty"), nil, 0o600))
	must.NoError(t, os.WriteFile(path("noise"), []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"), 0o600))
	open, err := os.ReadFile(path("a.key"))
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path("open.key"), open, 0o644))
	cases := map[string][3]string{
		"absent":             {"none", "a.crt", "a.key"},
		"empty":              {"ca.crt", "empty", "a.key"},
		"noise":              {"noise", "a.crt", "a.key"},
		"key of another":     {"ca.crt", "a.crt", "ca.key"},
		"key in place":       {"ca.crt", "a.key", "a.key"},
		"key open to others": {"ca.crt", "a.crt", "open.key"},
		"not by authority":   {"a.crt", "ca.crt", "ca.key"},
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
