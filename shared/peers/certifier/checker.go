package certifier

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Checker authenticates a node to its peers and verifies their certificates, by
// mutual TLS 1.3. It is safe for concurrent use.
type Checker struct {
	identity  Identity
	pair      KeyPair
	authority *x509.CertPool
	now       func() time.Time
}

// CheckerOption is an option of NewChecker.
type CheckerOption func(*Checker)

// WithClock sets the clock for the checks of expiry. The default is time.Now.
func WithClock(now func() time.Time) CheckerOption {
	return func(cr *Checker) { cr.now = now }
}

// NewChecker returns a Checker for a node with a key pair signed by the
// authority. The error is KeysInvalid for a certificate that peers would reject.
func NewChecker(authority *x509.Certificate, pr KeyPair, opts ...CheckerOption) (*Checker, error) {
	cr := &Checker{
		pair:      pr,
		authority: x509.NewCertPool(),
		now:       time.Now,
	}
	for _, opt := range opts {
		opt(cr)
	}
	cr.authority.AddCert(authority)
	id, err := cr.Check(pr.Certificate)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.KeysInvalid, "certificate of this node")
	}
	cr.identity = id
	return cr, nil
}

// LoadChecker returns a Checker from three PEM files, or a KeysInvalid error.
func LoadChecker(authorityFile, certificateFile, keyFile string, opts ...CheckerOption) (*Checker, error) {
	authority, err := ReadCertificate(authorityFile)
	if err != nil {
		return nil, err
	}
	pr, err := ReadKeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, err
	}
	return NewChecker(authority, pr, opts...)
}

// Identity returns the node's own identity.
func (cr *Checker) Identity() Identity { return cr.identity }

// ExpiryWarning returns a warning if the node's certificate expires soon or is
// not valid, or an empty string.
func (cr *Checker) ExpiryWarning() string { return ExpiryWarning(cr.pair.Certificate, cr.now()) }

// Check returns the identity in a peer's certificate, or a PeerUnauthorised
// error if the authority has not signed it or it is not valid now.
func (cr *Checker) Check(certificate *x509.Certificate) (Identity, error) {
	_, err := certificate.Verify(x509.VerifyOptions{
		Roots:       cr.authority,
		CurrentTime: cr.now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return Identity{}, classifier.Wrap(err, classifier.PeerUnauthorised, "%s", certificate.Subject)
	}
	id, err := IdentityOf(certificate)
	if err != nil {
		return Identity{}, classifier.Wrap(err, classifier.PeerUnauthorised, "%s", certificate.Subject)
	}
	return id, nil
}

// TLS returns the configuration for both sides of a connection between peers with
// the given application protocol. Session resumption is disabled, so that each
// connection is verified.
func (cr *Checker) TLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Certificates: []tls.Certificate{{
			Certificate: [][]byte{cr.pair.Certificate.Raw},
			PrivateKey:  cr.pair.Key,
			Leaf:        cr.pair.Certificate,
		}},
		NextProtos:             []string{protocol},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// Peers are identified by the identity in their certificate and not by
		// host names, so VerifyConnection verifies the certificate.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := cr.CheckState(state)
			return err
		},
	}
}

// CheckState returns the identity of the peer of a connection, or a
// PeerUnauthorised error.
func (cr *Checker) CheckState(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, classifier.New(classifier.PeerUnauthorised, "peer has sent no certificate")
	}
	return cr.Check(state.PeerCertificates[0])
}

// Secret returns a secret for a purpose, derived from the node's private key. Only
// the holder of the key can compute it, and it stays the same over restarts.
func (cr *Checker) Secret(purpose string) []byte {
	key, err := cr.pair.Key.Bytes()
	if err != nil {
		return nil
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(purpose))
	return mac.Sum(nil)
}
