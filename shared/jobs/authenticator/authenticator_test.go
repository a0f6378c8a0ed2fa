package authenticator_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/authenticator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// teamWith returns a team with keys.
func teamWith(name string, keys ...string) modeller.Team {
	tm := modeller.Team{
		Name: name,
	}
	for _, key := range keys {
		tm.KeyDigests = append(tm.KeyDigests, sha256.Sum256([]byte(key)))
	}
	return tm
}

func Example() {
	au := authenticator.New(map[string]modeller.Team{
		"survey": teamWith("survey", "survey-1", "shared"),
		"paint":  teamWith("paint", "paint-1", "shared"),
	})
	fmt.Println(au.Team("survey-1"))
	fmt.Println(au.Team("survey-2"))
	fmt.Println(au.Team("shared"))
	fmt.Println(au.SharedKeys())
	// Output:
	// survey true
	//  false
	// paint true
	// [{paint survey}]
}

// Guards against a request without a key that is a team's, whose list of keys has an
// empty one.
func TestEmptyKeyIdentifiesNoTeam(t *testing.T) {
	_, ok := authenticator.New(map[string]modeller.Team{"a": teamWith("a", "")}).Team("")
	must.False(t, ok)
	_, ok = authenticator.New(nil).Team("k")
	must.False(t, ok)
}

// Guards against a fault in the log for a team that lists a key twice.
func TestKeyListedTwiceIsNotShared(t *testing.T) {
	au := authenticator.New(map[string]modeller.Team{"a": teamWith("a", "k", "k")})
	must.SliceEmpty(t, au.SharedKeys())
}

// BenchmarkTeam shows that the cost of a look-up doesn't grow with the teams.
func BenchmarkTeam(b *testing.B) {
	for _, count := range []int{20, 200, 2000} {
		teams := map[string]modeller.Team{}
		for number := range count {
			name := fmt.Sprintf("team-%d", number)
			teams[name] = teamWith(name, name+"-first", name+"-second")
		}
		au := authenticator.New(teams)
		b.Run(fmt.Sprintf("teams=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := au.Team("team-7-second"); !ok {
					b.Fatal("a valid key is unknown")
				}
			}
		})
		b.Run(fmt.Sprintf("new/teams=%d", count), func(b *testing.B) {
			for b.Loop() {
				authenticator.New(teams)
			}
		})
	}
}
