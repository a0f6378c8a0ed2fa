package commander

import (
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/process/classifier"
)

const (
	authorityName        = "authority"
	certificateExtension = ".crt"
	keyExtension         = ".key"
	directoryMode        = 0o700
	day                  = 24 * time.Hour
)

// keysFlags are the flags of the commands that write keys and certificates.
type keysFlags struct {
	Directory string `default:"." type:"path" placeholder:"DIR" help:"Directory of the files."`
	Force     bool   `help:"Overwrite files that exist."`
}

func (kf *keysFlags) paths(name string) (certificate, key string) {
	base := filepath.Join(kf.Directory, name)
	return base + certificateExtension, base + keyExtension
}

// write writes a key pair to its files and shows its certificate.
func (kf *keysFlags) write(se *session, name string, pr certifier.KeyPair) error {
	if err := os.MkdirAll(kf.Directory, directoryMode); err != nil {
		return classifier.Wrap(err, classifier.KeysInvalid, "directory %s can't be created", kf.Directory)
	}
	certificate, key := kf.paths(name)
	if err := certifier.WriteKeyPair(pr, certificate, key, kf.Force); err != nil {
		return err
	}
	wire := newWireCertificate(certificate, pr.Certificate, se.now())
	return se.printer.Show(printer.View{
		Above: []string{
			fmt.Sprintf("wrote %s, valid until %s", certificate, timeText(wire.Until)),
			fmt.Sprintf("wrote %s: keep it secret", key),
		},
		Wire: wire,
	})
}

// lifetime returns a number of days as a duration, or a Usage error.
func lifetime(days int) (time.Duration, error) {
	const maxDays = 100 * 365
	if days < 1 || days > maxDays {
		return 0, classifier.New(classifier.Usage, "--days %d is not between 1 and %d", days, maxDays)
	}
	return time.Duration(days) * day, nil
}

// wireCertificate is a certificate as JSON.
type wireCertificate struct {
	File         string    `json:"file"`
	Organisation string    `json:"organisation"`
	Name         string    `json:"name"`
	Role         string    `json:"role"`
	Zone         string    `json:"zone,omitempty"`
	Since        time.Time `json:"since"`
	Until        time.Time `json:"until"`
	Warning      string    `json:"warning,omitempty"`
}

func newWireCertificate(file string, certificate *x509.Certificate, now time.Time) wireCertificate {
	wire := wireCertificate{
		File:         file,
		Organisation: certifier.OrganisationOf(certificate),
		Name:         certificate.Subject.CommonName,
		Role:         authorityName,
		Since:        certificate.NotBefore,
		Until:        certificate.NotAfter,
		Warning:      certifier.ExpiryWarning(certificate, now),
	}
	if certificate.IsCA {
		return wire
	}
	id, err := certifier.IdentityOf(certificate)
	wire.Role = string(id.Role)
	wire.Zone = id.Zone
	if err != nil {
		wire.Warning = "names no node"
	}
	return wire
}
