package reporter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

func ExampleEncodeStatus() {
	data, err := reporter.EncodeStatus(reporter.Status{
		Name:             "entry-a1",
		Role:             reporter.Entry,
		Zone:             "a",
		SettingsRevision: 7,
	})
	fmt.Println(string(data), err)
	// Output: {"name":"entry-a1","role":"entry","zone":"a","settingsRevision":7} <nil>
}

func ExampleEncodeMember() {
	data, err := reporter.EncodeMember(reporter.Member{
		Name:             "entry-a1",
		Role:             reporter.Entry,
		Zone:             "a",
		OperatorsAddress: netip.MustParseAddrPort("127.0.1.1:9100"),
	})
	fmt.Println(string(data), err)
	// Output: {"name":"entry-a1","role":"entry","zone":"a","operatorsAddress":"127.0.1.1:9100","settingsRevision":0} <nil>
}

// serve starts the server of a node's status page and returns the node's member
// record.
func serve(t *testing.T, name string, handler http.Handler) reporter.Member {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return reporter.Member{
		Name:             name,
		Role:             reporter.Entry,
		Zone:             "a",
		OperatorsAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	}
}

func statusOf(name string, revision uint64) http.Handler {
	return reporter.NewHandler(func() reporter.Status {
		return reporter.Status{
			Name:             name,
			SettingsRevision: revision,
		}
	})
}

func TestCollectReportsAnErrorPerNode(t *testing.T) {
	store := keeper.New().Zone("a")
	sc := reporter.NewStatusCollector(store)
	for _, mb := range []reporter.Member{
		serve(t, "good", statusOf("good", 4)),
		serve(t, "other", statusOf("good", 4)),
		serve(t, "broken", http.NotFoundHandler()),
	} {
		data, err := reporter.EncodeMember(mb)
		must.NoError(t, err)
		_, err = store.Put(t.Context(), reporter.MemberKey(mb.Name), data, 0, 0)
		must.NoError(t, err)
	}
	_, err := store.Put(t.Context(), storer.MemberPrefix+"unreadable", []byte("{"), 0, 0)
	must.NoError(t, err)

	members, err := sc.Members(t.Context())
	must.NoError(t, err)
	codes := map[string]classifier.Code{}
	for _, result := range sc.Collect(t.Context(), members) {
		codes[result.Member.Name] = classifier.CodeOf(result.Err)
	}
	must.Eq(t, map[string]classifier.Code{
		"good":       classifier.OK,
		"other":      classifier.PeerMessageInvalid,
		"broken":     classifier.PeerMessageInvalid,
		"unreadable": classifier.RecordInvalid,
	}, codes)
}

func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := reporter.DecodeMember(data); err != nil {
			must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
		}
		if _, err := reporter.DecodeStatus(data); err != nil {
			must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
		}
	})
}
