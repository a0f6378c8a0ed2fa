package certifier

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Checker proves a node's identity to its peers and checks theirs by mutual
// TLS 1.3. It is safe for concurrent use.
type Checker struct {
	identity  Identity
	pair      KeyPair
	authority *x509.CertPool
	now       func() time.Time
}

// CheckerOption is an option of NewChecker.
type CheckerOption func(*Checker)

// WithClock sets the clock that expiry is judged by.
func WithClock(now func() time.Time) CheckerOption {
	return func(cr *Checker) { cr.now = now }
}

// NewChecker returns a Checker for a node with a pair signed by the authority.
// The error is KeysInvalid for a pair that peers would refuse.
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
		return nil, classifier.Wrap(err, classifier.KeysInvalid, "own certificate")
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

// ExpiryWarning returns what is to be told of the own certificate's expiry, or an
// empty string.
func (cr *Checker) ExpiryWarning() string { return ExpiryWarning(cr.pair.Certificate, cr.now()) }

// Check returns the identity in a peer's certificate, or a PeerUnauthorised
// error if the authority hasn't signed it or its time is not now.
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

// TLS returns the settings of both sides of a connection between peers that
// speak the given application protocol. Sessions aren't resumed, so that each
// connection is checked anew.
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
		// The peer is known by its identity and not by a host name, so the
		// certificate is verified in VerifyConnection.
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
		return Identity{}, classifier.New(classifier.PeerUnauthorised, "no certificate")
	}
	return cr.Check(state.PeerCertificates[0])
}

// Secret returns bytes that only the holder of the node's key can know, the
// same for each start of the node, for a stated purpose.
func (cr *Checker) Secret(purpose string) []byte {
	key, err := cr.pair.Key.Bytes()
	if err != nil {
		return nil
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(purpose))
	return mac.Sum(nil)
}
