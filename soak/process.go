package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Times that the settings of the fronts state.
const (
	drainTime  = 2 * time.Second
	configTime = 2 * time.Second
	graceTime  = 4 * time.Second
)

// process is a front that runs as a process of its own, and is started again when it ends.
type process struct {
	name     string
	program  string
	settings string
	log      string
	address  string     // for clients
	busy     sync.Mutex // held while a run is ended and the next one is started
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{} // closed when cmd has ended
	runs     int           // starts so far
	expected bool          // the soak ends this run
}

// newProcess prepares a front with its settings in dir. The store is reached at the given address.
func newProcess(program, dir string, num int, store string) (*process, error) {
	host := loopback()
	var ports [4]int
	for idx := range ports {
		lis, err := net.Listen("tcp", host+":0") //nolint:noctx // Only the number of the port is wanted.
		if err != nil {
			return nil, fmt.Errorf("soak: find a port: %w", err)
		}
		ports[idx] = lis.Addr().(*net.TCPAddr).Port //nolint:errcheck // A TCP listener has a TCP address.
		_ = lis.Close()
	}
	prc := &process{
		name: fmt.Sprint("front-", num), program: program, address: fmt.Sprint(host, ":", ports[0]),
	}
	prc.settings = filepath.Join(dir, prc.name+".ini")
	prc.log = filepath.Join(dir, prc.name+".log")
	text := fmt.Sprintf("[process]\nname = %s\ndata-centre = z\nlisten = %s\ngrace = %s\nmetrics = %s:%d\n"+
		"[front]\nready = %s:%d\nstore = %s\npeers = %s:%d\ndrain-time = %s\nconfig-time = %s\n",
		prc.name, prc.address, graceTime, host, ports[1], host, ports[2], store, host, ports[3], drainTime, configTime)
	if err := os.WriteFile(prc.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("soak: write settings: %w", err)
	}
	return prc, nil
}

// loopback returns a loopback address of this process's own. The ports of a front are free while it is down, and
// another soak on the machine must not take them.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// start starts a run of the process. The function unexpected is called if it ends by itself.
func (prc *process) start(unexpected func(err error)) error {
	out, err := os.OpenFile(prc.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soak: open log: %w", err)
	}
	cmd := exec.Command(prc.program, "front", "--settings", prc.settings) //nolint:gosec,noctx // The soak ends it.
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("soak: start %s: %w", prc.name, err)
	}
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.cmd, prc.ended, prc.expected = cmd, make(chan struct{}), false
	prc.runs++
	ended := prc.ended
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		prc.mu.Lock()
		expected := prc.expected
		prc.mu.Unlock()
		if !expected {
			unexpected(fmt.Errorf("soak: %s ended by itself: %w", prc.name, err))
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the present run.
func (prc *process) signal(sig syscall.Signal) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	_ = prc.cmd.Process.Signal(sig) // It fails only if the process has ended, which is noticed elsewhere.
}

// end sends a signal that ends the present run and returns when it has ended. It kills the process after the time
// that a planned stop may take.
func (prc *process) end(sig syscall.Signal) {
	prc.mu.Lock()
	prc.expected = true
	ended := prc.ended
	prc.mu.Unlock()
	prc.signal(sig)
	select {
	case <-ended:
	case <-time.After(graceTime + time.Second):
		prc.signal(syscall.SIGKILL)
		<-ended
	}
}

// run returns the number of the present run.
func (prc *process) run() int {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.runs
}
