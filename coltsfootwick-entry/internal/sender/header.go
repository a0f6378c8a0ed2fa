package sender

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the hop-by-hop headers of RFC 9110, section 7.6.1, and the
// headers that the entry handles itself, such as Expect.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
}

// removeHopByHop removes the hop-by-hop headers, including those listed in the
// Connection header.
func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(header, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}
