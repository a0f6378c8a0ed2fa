package prover_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/standin/internal/assembler"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/prover"
)

// binaries is the directory of the programs under proof.
var binaries string

// TestMain builds the programs, so that the proofs hold for the code beside them.
func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	directory, err := os.MkdirTemp("", "coltsfootwick-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	arguments := []string{"build", "-o", directory + "/"}
	for _, program := range longRunning {
		arguments = append(arguments, "coltsfootwick.example/"+program.name)
	}
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// seed returns the seed of a proof.
func seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv(prover.SeedVariable)
	if text == "" {
		return 1
	}
	value, err := strconv.ParseUint(text, 10, 64)
	must.NoError(t, err)
	return value
}

func assemble(t *testing.T, opts ...assembler.Option) *assembler.Assembly {
	t.Helper()
	ay := assembler.New(binaries, t.TempDir(), opts...)
	t.Cleanup(ay.Close)
	must.NoError(t, ay.Start(t.Context()))
	return ay
}

// client calls the entries of an assembly one request after another and
// records what came back.
type client struct {
	caller  *generator.Caller
	service generator.Service
	ledger  *ledger.Ledger
	prefix  string
	number  int
}

func newClient(t *testing.T, ay *assembler.Assembly, h2c bool) *client {
	t.Helper()
	cg := generator.DefaultConfig()
	cg.MaxAttempts = 1
	cg.H2C = h2c
	caller := generator.NewCaller(cg, ay.CallersZone())
	t.Cleanup(caller.Close)
	return &client{
		caller: caller,
		ledger: ledger.New(),
		prefix: fmt.Sprintf("%d-h2c-%t", os.Getpid(), h2c),
		service: generator.Service{
			Name:         assembler.Service,
			Path:         assembler.Path,
			Urgency:      1,
			LongUrgency:  6,
			RequestBytes: 64,
			Timeout:      time.Minute,
		},
	}
}

// arrival returns the next request.
func (ct *client) arrival(kind generator.Kind) generator.Arrival {
	ct.number++
	return generator.Arrival{
		Identifier: fmt.Sprintf("%s-%05d", ct.prefix, ct.number),
		Kind:       kind,
	}
}

// call makes one request and returns what its one attempt brought.
func (ct *client) call(t *testing.T, kind generator.Kind) ledger.Result {
	t.Helper()
	return ct.send(t, ct.arrival(kind))
}

func (ct *client) send(t *testing.T, al generator.Arrival) ledger.Result {
	t.Helper()
	rt := ct.caller.Call(t.Context(), ct.service, al, time.Now())
	ct.ledger.Add(rt)
	return rt.Last().Result
}

// mustBeSound fails the test if the ledger finds a violation.
func mustBeSound(t *testing.T, lr *ledger.Ledger, ay *assembler.Assembly) ledger.Verdict {
	t.Helper()
	verdict := lr.Judge(ay.Reports())
	must.SliceEmpty(t, verdict.Violations)
	return verdict
}

// isAnswer is true for a target's whole body with status 200.
func isAnswer(result ledger.Result) bool {
	ar, ok := result.(ledger.Answer)
	return ok && ar.Whole && ar.Status == 200
}
