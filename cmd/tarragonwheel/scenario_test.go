package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout bounds every wait for a condition. It only ends tests that hang.
const waitTimeout = 60 * time.Second

const pollInterval = 5 * time.Millisecond

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tarragonwheel": main})
}

// TestScenarios runs the scripts of testdata/scenarios, each of which states the failure that it guards against.
// docs/SCENARIOS.md describes their commands.
func TestScenarios(t *testing.T) {
	cmds := make(map[string]func(ts *testscript.TestScript, neg bool, args []string))
	for name, fn := range scriptCommands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := fn(ts.Value(scenarioKey{}).(*scenario), args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded, but should have failed", name)
			case !neg && err != nil:
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	testscript.Run(t, testscript.Params{Dir: "testdata/scenarios", Setup: setUp, Cmds: cmds})
}

// scriptCommand implements a command of the scripts.
type scriptCommand func(scn *scenario, args []string) error

var scriptCommands map[string]scriptCommand

func init() { // Avoids an initialization cycle: retryCommand refers to the table.
	scriptCommands = map[string]scriptCommand{
		"unblock":      unblockAll,
		"active":       checkActive,
		"agent":        startAgent,
		"answered":     waitAnswered,
		"ask":          sendCompletion,
		"book":         sendBooking,
		"declare":      writeDeclaration,
		"ended":        checkEnded,
		"engine":       startSim("engine", "--model"),
		"entry":        startEntry,
		"executions":   checkExecutions,
		"fault":        setFault,
		"finish":       finishCall,
		"first":        waitFirstByte,
		"get":          httpCall("GET"),
		"gone":         waitExit,
		"heal":         healRoute,
		"leave":        disconnect,
		"load":         startLoad,
		"log":          startSim("log"),
		"logged":       checkLog,
		"metric":       checkMetric,
		"one-in-force": checkOneApplied,
		"operator":     startOperator,
		"operated":     checkOperator,
		"post":         httpCall("POST"),
		"proxy":        startSim("fault"),
		"put":          httpCall("PUT"),
		"readyz":       checkReady,
		"restart":      restart,
		"route":        addProxyRoute,
		"service":      startSim("service"),
		"signal":       sendSignal,
		"suspects":     checkSuspects,
		"truthful":     checkBookings,
		"unload":       stopLoad,
		"until":        retryCommand,
		"vm":           putVM,
		"vms":          startSim("vms"),
		"weights":      startSim("weights"),
	}
}

type scenarioKey struct{}

// scenario is the state of one running script.
type scenario struct {
	dir       string
	processes map[string]*process
	addresses map[string]string // of processes and routes
	calls     map[string]*call
	bookings  []*booking
	loads     map[string]*backgroundLoad

	operatorRuns map[string]*operatorRun
	log          func(args ...any)
}

const scenarioSecrets = `[deployment]
secret = scenario-deployment-secret
[accounts]
desk = scenario-key-of-desk
press = scenario-key-of-press
[operators]
ops = scenario-key-of-ops
`

func setUp(env *testscript.Env) error {
	scn := &scenario{
		dir: env.WorkDir, processes: make(map[string]*process), addresses: make(map[string]string),
		calls: make(map[string]*call), loads: make(map[string]*backgroundLoad),
		operatorRuns: make(map[string]*operatorRun), log: env.T().Log,
	}
	env.Values[scenarioKey{}] = scn
	env.Defer(func() {
		for _, cal := range scn.calls {
			cal.cancel()
		}
		for _, bgl := range scn.loads {
			bgl.stop.Store(true)
		}
		for name, prc := range scn.processes {
			_ = prc.cmd.Process.Kill()
			<-prc.done
			env.T().Log(name + ":\n" + prc.text()) // Printed only if the test fails or is verbose.
		}
	})
	if err := os.WriteFile(filepath.Join(env.WorkDir, "ops.key"), []byte("scenario-key-of-ops"), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, "secrets.ini"), []byte(scenarioSecrets), 0o600)
}

// address returns the address of a process or proxy route.
func (scn *scenario) address(name string) (string, error) {
	addr, ok := scn.addresses[name]
	if !ok {
		return "", fmt.Errorf("no process or route %q", name)
	}
	return addr, nil
}

// retryCommand repeats a script command until it succeeds: COMMAND [ARGUMENT...].
func retryCommand(scn *scenario, args []string) error {
	if len(args) == 0 || scriptCommands[args[0]] == nil {
		return errors.New("usage: until COMMAND [ARGUMENT]")
	}
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = scriptCommands[args[0]](scn, args[1:]); err == nil {
			return nil
		}
	}
	return fmt.Errorf("never succeeded: %w", err)
}

// splitOptions separates the arguments of the form key=value from the others.
func splitOptions(args []string) (rest []string, opts map[string]string) {
	opts = make(map[string]string)
	for _, arg := range args {
		if key, val, ok := strings.Cut(arg, "="); ok {
			opts[key] = val
		} else {
			rest = append(rest, arg)
		}
	}
	return rest, opts
}

// takeOption removes an option and returns its value, or fallback if it is not given.
func takeOption(opts map[string]string, key, fallback string) string {
	val, ok := opts[key]
	delete(opts, key)
	if !ok {
		return fallback
	}
	return val
}

// writeSettings writes the settings file of a process and returns its path. The keys of values have the form
// section.name.
func (scn *scenario) writeSettings(name string, values map[string]string) (string, error) {
	sections := make(map[string][]string)
	for key, val := range values {
		sec, nam, ok := strings.Cut(key, ".")
		if !ok {
			return "", fmt.Errorf("unknown word %q; settings have the form section.key=value", key)
		}
		sections[sec] = append(sections[sec], nam+" = "+val)
	}
	var text strings.Builder
	for sec, lines := range sections {
		slices.Sort(lines)
		fmt.Fprintf(&text, "[%s]\n%s\n", sec, strings.Join(lines, "\n"))
	}
	file := filepath.Join(scn.dir, name+".ini")
	return file, os.WriteFile(file, []byte(text.String()), 0o600)
}
