package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"math/big"

	"coltsfootwick.example/shared/process/classifier"
)

// serialBits is the length of the random serial numbers.
const serialBits = 120

// KeyPair is a certificate with its secret key.
type KeyPair struct {
	// Certificate is the certificate.
	Certificate *x509.Certificate
	// Key is the secret key.
	Key *ecdsa.PrivateKey
}

// generateSigned makes a key and its certificate after a template, signed by the issuer,
// or by itself without one.
func generateSigned(template *x509.Certificate, issuer *KeyPair) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, classifier.Wrap(err, classifier.Internal, "make a key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, classifier.Wrap(err, classifier.Internal, "make a serial number")
	}
	if issuer == nil {
		issuer = &KeyPair{
			Certificate: template,
			Key:         key,
		}
	}
	data, err := x509.CreateCertificate(rand.Reader, template, issuer.Certificate, key.Public(), issuer.Key)
	if err != nil {
		return KeyPair{}, classifier.Wrap(err, classifier.KeysInvalid, "sign the certificate of %s", template.Subject)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		return KeyPair{}, classifier.Wrap(err, classifier.Internal, "read the certificate of %s", template.Subject)
	}
	return KeyPair{
		Certificate: certificate,
		Key:         key,
	}, nil
}
