package certifier

import (
	"crypto/x509"
	"fmt"
	"time"
)

// Warnings start warningTime before a certificate expires, or in the last third
// of its lifetime if that is shorter.
const (
	warningTime     = 30 * 24 * time.Hour
	warningFraction = 3
	day             = 24 * time.Hour
)

// ExpiryWarning returns a warning if a certificate expires soon, has expired or is
// not valid yet, or an empty string.
func ExpiryWarning(certificate *x509.Certificate, now time.Time) string {
	remaining := certificate.NotAfter.Sub(now)
	lifetime := certificate.NotAfter.Sub(certificate.NotBefore)
	switch {
	case now.Before(certificate.NotBefore):
		return "not valid yet"
	case remaining <= 0:
		return "expired"
	case remaining < min(warningTime, lifetime/warningFraction):
		return fmt.Sprintf("expires in %d days", remaining/day)
	}
	return ""
}
