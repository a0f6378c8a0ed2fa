package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"math/big"

	"coltsfootwick.example/shared/process/classifier"
)

// serialBits is the length of random serial numbers.
const serialBits = 120

// KeyPair is a certificate with its private key.
type KeyPair struct {
	// Certificate is the certificate.
	Certificate *x509.Certificate
	// Key is the private key.
	Key *ecdsa.PrivateKey
}

// generateSigned generates a key and its certificate from a template, signed by
// the issuer, or self-signed if the issuer is nil.
func generateSigned(template *x509.Certificate, issuer *KeyPair) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, classifier.Wrap(err, classifier.Internal, "generate a key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, classifier.Wrap(err, classifier.Internal, "generate a serial number")
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
		return KeyPair{}, classifier.Wrap(err, classifier.Internal, "parse the new certificate of %s", template.Subject)
	}
	return KeyPair{
		Certificate: certificate,
		Key:         key,
	}, nil
}
