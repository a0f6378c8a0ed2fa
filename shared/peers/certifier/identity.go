// Package certifier issues and verifies the certificates by which the nodes of a
// region authenticate each other. One authority signs them; the files are PEM,
// the keys ECDSA on the curve P-256. A certificate carries the node's name, role
// and availability zone in a URI such as coltsfootwick://a/entry/entry-a1.
package certifier

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
)

const (
	uriScheme   = "coltsfootwick"
	uriSegments = 2
)

// labelPattern matches valid names and zones.
var labelPattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9-]{0,61}[a-zA-Z0-9])?$`)

// Identity is the identity of a node in its certificate.
type Identity struct {
	// Name is the node's name, unique in the organisation.
	Name string
	// Role is the kind of process.
	Role reporter.Role
	// Zone is the node's availability zone.
	Zone string
}

// Check returns a KeysInvalid error if a certificate can't carry the identity:
// names and zones are 1 to 63 letters, digits and inner hyphens.
func (id Identity) Check() error {
	switch {
	case !labelPattern.MatchString(id.Name):
		return classifier.New(classifier.KeysInvalid, "name %q is not 1 to 63 letters, digits and inner hyphens", id.Name)
	case !labelPattern.MatchString(id.Zone):
		return classifier.New(classifier.KeysInvalid, "availability zone %q is not 1 to 63 letters, digits and inner hyphens", id.Zone)
	case id.Role != reporter.Entry && id.Role != reporter.Steward:
		return classifier.New(classifier.KeysInvalid, "role %q is neither entry nor steward", id.Role)
	}
	return nil
}

func (id Identity) uri() *url.URL {
	return &url.URL{
		Scheme: uriScheme,
		Host:   id.Zone,
		Path:   "/" + string(id.Role) + "/" + id.Name,
	}
}

// IdentityOf returns the identity in a certificate, or a KeysInvalid error.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	for _, uri := range certificate.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		segments := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
		if len(segments) != uriSegments {
			break
		}
		id := Identity{
			Name: segments[1],
			Role: reporter.Role(segments[0]),
			Zone: uri.Host,
		}
		return id, id.Check()
	}
	return Identity{}, classifier.New(classifier.KeysInvalid, "certificate %s contains no identity of a node", certificate.Subject)
}
