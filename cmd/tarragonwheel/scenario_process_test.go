package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a process of a scenario, running or ended.
type process struct {
	args []string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended

	mu  sync.Mutex
	log bytes.Buffer
}

// Write implements io.Writer. It collects the standard error of the process.
func (prc *process) Write(text []byte) (int, error) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.log.Write(text)
}

func (prc *process) text() string {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.log.String()
}

// unusedAddress returns a random loopback address with port 0. No other process is likely to use its IP, so that no
// outgoing connection of another process can take the port while its owner is restarted.
func unusedAddress() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(250), rand.N(250), 1+rand.N(250))
}

var listening = regexp.MustCompile(`listening.* address=(\S+)`)

// start runs the program and waits until it listens. It replaces an ended process of the same name.
func (scn *scenario) start(name string, args ...string) error {
	if old := scn.processes[name]; old != nil {
		select {
		case <-old.done:
		default:
			return fmt.Errorf("%s is running", name)
		}
	}
	prc := &process{args: args, cmd: exec.Command("tarragonwheel", args...), done: make(chan struct{})}
	prc.cmd.Dir = scn.dir
	prc.cmd.Stderr = prc
	// The kernel kills the process if the test is killed.
	prc.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := prc.cmd.Start(); err != nil {
		return err
	}
	scn.processes[name] = prc
	go func() {
		_ = prc.cmd.Wait()
		close(prc.done)
	}()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if found := listening.FindStringSubmatch(prc.text()); found != nil {
			scn.addresses[name] = found[1]
			return nil
		}
		select {
		case <-prc.done:
			return fmt.Errorf("%s ended: %s", name, prc.text())
		default:
		}
	}
	return fmt.Errorf("%s does not listen: %s", name, prc.text())
}

// startSim runs a simulator: NAME, one word for each of the flags, and further flags as KEY=VALUE.
func startSim(kind string, flags ...string) scriptCommand {
	return func(scn *scenario, args []string) error {
		words, opts := splitOptions(args)
		if len(words) != 1+len(flags) {
			return fmt.Errorf("needs a name and %v", flags)
		}
		line := []string{"sim", kind, "--listen", unusedAddress()}
		for idx, flag := range flags {
			line = append(line, flag, words[1+idx])
		}
		for key, val := range opts {
			line = append(line, "--"+key+"="+val)
		}
		return scn.start(words[0], line...)
	}
}

// startAgent starts an agent beside an engine or a plain service: NAME SERVES DATA-CENTRE and options.
func startAgent(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 3 {
		return errors.New("usage: agent NAME SERVES DATA-CENTRE engine=NAME [vms=NAME] [section.key=value]")
	}
	kind, upstream := "engine", takeOption(opts, "engine", "")
	if upstream == "" {
		kind, upstream = "plain", takeOption(opts, "plain", "")
	}
	addr, err := scn.address(upstream)
	if err != nil {
		return err
	}
	opts["agent.kind"], opts["agent.serves"], opts["agent.upstream"] = kind, words[1], addr
	return scn.startRole("agent", words[0], words[2], opts)
}

// startEntry starts an entry: NAME DATA-CENTRE and options.
func startEntry(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 2 {
		return errors.New("usage: entry NAME DATA-CENTRE [agents=NAME,NAME] [vms=NAME] [section.key=value]")
	}
	var addrs []string
	for _, name := range strings.FieldsFunc(takeOption(opts, "agents", ""), func(chr rune) bool { return chr == ',' }) {
		addr, err := scn.address(name)
		if err != nil {
			return err
		}
		addrs = append(addrs, addr)
	}
	if opts["admin.listen"] == "" {
		opts["admin.listen"] = unusedAddress()
	}
	opts["entry.agents"] = strings.Join(addrs, ",")
	return scn.startRole("entry", words[0], words[1], opts)
}

// startRole writes the settings of a process and starts it. Options are settings, or name another process whose address
// is a setting.
func (scn *scenario) startRole(role, name, centre string, opts map[string]string) error {
	for word, key := range map[string]string{
		"vms": "platform.vm-list", "log": "platform.log", "weights": "platform.weight-store",
	} {
		if other := takeOption(opts, word, ""); other != "" {
			addr, err := scn.address(other)
			if err != nil {
				return err
			}
			opts[key] = addr
		}
	}
	opts["process.name"], opts["process.data-centre"], opts["process.secrets"] = name, centre, "secrets.ini"
	opts["process.listen"] = unusedAddress()
	opts["process.metrics"] = unusedAddress()
	file, err := scn.writeSettings(name, opts)
	if err != nil {
		return err
	}
	return scn.start(name, role, "--settings", file)
}

// restart starts an ended process again, with the same settings and at the same address: NAME.
func restart(scn *scenario, args []string) error {
	prc := scn.processes[args[0]]
	if prc == nil {
		return fmt.Errorf("no process %q", args[0])
	}
	addr := scn.addresses[args[0]]
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	line := slices.Clone(prc.args)
	for idx, word := range line {
		line[idx] = strings.Replace(word, host+":0", addr, 1)
	}
	if file, ok := strings.CutSuffix(line[len(line)-1], ".ini"); ok {
		text, err := os.ReadFile(file + ".ini")
		if err != nil {
			return err
		}
		fixed := strings.Replace(string(text), host+":0", addr, 1)
		if err := os.WriteFile(file+".ini", []byte(fixed), 0o600); err != nil {
			return err
		}
	}
	return scn.start(args[0], line...)
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT,
}

// sendSignal sends a signal to a process: PROCESS kill|term|stop|cont. After kill, it waits for the process to end.
func sendSignal(scn *scenario, args []string) error {
	if len(args) != 2 || signals[args[1]] == 0 || scn.processes[args[0]] == nil {
		return errors.New("usage: signal PROCESS kill|term|stop|cont")
	}
	prc := scn.processes[args[0]]
	if err := prc.cmd.Process.Signal(signals[args[1]]); err != nil {
		return err
	}
	if args[1] == "kill" {
		return waitExit(scn, args[:1])
	}
	return nil
}

// waitExit waits until a process has ended, and checks its exit code if one is given: PROCESS [code=N].
func waitExit(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	prc := scn.processes[words[0]]
	if prc == nil {
		return fmt.Errorf("no process %q", words[0])
	}
	select {
	case <-prc.done:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s is still running", words[0])
	}
	got := fmt.Sprint(prc.cmd.ProcessState.ExitCode())
	if want := takeOption(opts, "code", got); want != got {
		return fmt.Errorf("%s ended with code %s, want %s", words[0], got, want)
	}
	return nil
}

// checkLog checks that the standard error of a process matches a regular expression: PROCESS REGEXP.
func checkLog(scn *scenario, args []string) error {
	if len(args) != 2 || scn.processes[args[0]] == nil {
		return errors.New("usage: logged PROCESS REGEXP")
	}
	exp, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	if !exp.MatchString(scn.processes[args[0]].text()) {
		return fmt.Errorf("no match for %q in the log of %s", args[1], args[0])
	}
	return nil
}
