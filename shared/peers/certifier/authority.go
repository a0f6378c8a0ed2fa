package certifier

import (
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"net/url"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// clockSkew is the maximum time by which a node's clock may be behind that of the
// authority.
const clockSkew = 5 * time.Minute

// NewAuthority generates the key and the self-signed certificate of an
// organisation's authority, valid for a lifetime from now on.
func NewAuthority(organisation string, now time.Time, lifetime time.Duration) (KeyPair, error) {
	if organisation == "" {
		return KeyPair{}, classifier.New(classifier.KeysInvalid, "authority has no organisation")
	}
	if lifetime <= 0 {
		return KeyPair{}, classifier.New(classifier.KeysInvalid, "lifetime %s of the authority is not positive", lifetime)
	}
	return generateSigned(&x509.Certificate{
		Subject: pkix.Name{
			CommonName: "authority",
			ExtraNames: []pkix.AttributeTypeAndValue{organisationName(organisation)},
		},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		MaxPathLenZero:        true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}, nil)
}

// Issue generates a key and a certificate for a node, valid for a lifetime from
// now on, but not beyond the authority's expiry.
func Issue(authority KeyPair, id Identity, now time.Time, lifetime time.Duration) (KeyPair, error) {
	if err := id.Check(); err != nil {
		return KeyPair{}, err
	}
	if !authority.Certificate.IsCA {
		return KeyPair{}, classifier.New(classifier.KeysInvalid, "%s is not an authority", authority.Certificate.Subject)
	}
	if now.After(authority.Certificate.NotAfter) {
		return KeyPair{}, classifier.New(classifier.KeysInvalid, "the authority expired at %s", authority.Certificate.NotAfter.Format(time.RFC3339))
	}
	if lifetime <= 0 {
		return KeyPair{}, classifier.New(classifier.KeysInvalid, "lifetime %s of the certificate is not positive", lifetime)
	}
	expiry := now.Add(lifetime)
	if expiry.After(authority.Certificate.NotAfter) {
		expiry = authority.Certificate.NotAfter
	}
	return generateSigned(&x509.Certificate{
		Subject: pkix.Name{
			Locality:   []string{id.Zone},
			CommonName: id.Name,
			ExtraNames: []pkix.AttributeTypeAndValue{organisationName(OrganisationOf(authority.Certificate))},
		},
		URIs:                  []*url.URL{id.uri()},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              expiry,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &authority)
}

// organisationType is the object identifier of the X.520 attribute
// organizationName.
var organisationType = asn1.ObjectIdentifier{2, 5, 4, 10}

func organisationName(organisation string) pkix.AttributeTypeAndValue {
	return pkix.AttributeTypeAndValue{
		Type:  organisationType,
		Value: organisation,
	}
}

// OrganisationOf returns the organisation in a certificate.
func OrganisationOf(certificate *x509.Certificate) string {
	for _, name := range certificate.Subject.Names {
		if text, ok := name.Value.(string); ok && name.Type.Equal(organisationType) {
			return text
		}
	}
	return ""
}
