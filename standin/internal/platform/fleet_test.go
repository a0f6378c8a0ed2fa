package platform_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/platform"
)

func TestLoadFleet(t *testing.T) {
	const good = "[[vms]]\nname = \"a-01\"\nzone = \"a\"\nrack = \"a-r1\"\naddress = \"127.0.1.1:9000\"\npool = \"claims\"\nrebootURL = \"http://127.0.1.1:9001/reboot\"\n"
	cases := []struct {
		name string
		text string
		code classifier.Code
	}{
		{"good", good, classifier.OK},
		{"twice", good + good, classifier.SettingsRange},
		{"no address", "[[vms]]\nname = \"a\"\nzone = \"a\"\n", classifier.SettingsRange},
		{"unknown key", good + "size = 3\n", classifier.SettingsUnknownKey},
		{"syntax", "[[vms]", classifier.SettingsSyntax},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fleet.toml")
			must.NoError(t, os.WriteFile(path, []byte(tc.text), 0o600))
			ft, err := platform.LoadFleet(path)
			must.Eq(t, tc.code, classifier.CodeOf(err))
			if err == nil {
				must.Eq(t, "a-01", ft.VMs[0].Name)
				must.MapContainsKey(t, ft.RebootURLs, "a-01")
			}
		})
	}
}
