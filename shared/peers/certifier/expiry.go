package certifier

import (
	"crypto/x509"
	"fmt"
	"time"
)

// warningTime is how long before its end a certificate is warned of; a shorter
// lived one is warned of in the last third of its life.
const (
	warningTime     = 30 * 24 * time.Hour
	warningFraction = 3
	day             = 24 * time.Hour
)

// ExpiryWarning returns what is wrong with a certificate's time of validity, or an
// empty string.
func ExpiryWarning(certificate *x509.Certificate, now time.Time) string {
	left := certificate.NotAfter.Sub(now)
	lifetime := certificate.NotAfter.Sub(certificate.NotBefore)
	switch {
	case now.Before(certificate.NotBefore):
		return "not valid yet"
	case left <= 0:
		return "expired"
	case left < min(warningTime, lifetime/warningFraction):
		return fmt.Sprintf("expires in %d days", left/day)
	}
	return ""
}
