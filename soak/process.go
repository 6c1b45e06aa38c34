package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Times in the settings of the fronts.
const (
	drainTime  = 2 * time.Second
	configTime = 2 * time.Second
	graceTime  = 4 * time.Second
)

// process runs a front as a child process, which can be stopped and started again.
type process struct {
	name          string
	program       string
	settings      string     // path of its settings file
	log           string     // path of its log file
	address       string     // that clients connect to
	restartMu     sync.Mutex // held while a run is stopped and the next one started
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when cmd has exited
	runCount      int           // starts so far
	stopRequested bool          // the soak stops the current run
}

// newProcess picks free ports for a front and writes its settings file to dir. The front reaches the store at the given
// address. It is not started yet.
func newProcess(prt *ports, program, dir string, num int, store string) (*process, error) {
	var addrs [4]string
	for idx := range addrs {
		addr, err := prt.next()
		if err != nil {
			return nil, err
		}
		addrs[idx] = addr
	}
	prc := &process{
		name: fmt.Sprint("front-", num), program: program, address: addrs[0],
	}
	prc.settings = filepath.Join(dir, prc.name+".ini")
	prc.log = filepath.Join(dir, prc.name+".log")
	text := fmt.Sprintf("[process]\nname = %s\ndata-centre = z\nlisten = %s\ngrace = %s\nmetrics = %s\n"+
		"[front]\nready = %s\nstore = %s\npeers = %s\ndrain-time = %s\nconfig-time = %s\nshare-accounts = true\n"+
		"claim-time = 25ms\n",
		prc.name, prc.address, graceTime, addrs[1], addrs[2], store, addrs[3], drainTime, configTime)
	if err := os.WriteFile(prc.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("soak: write settings: %w", err)
	}
	return prc, nil
}

// start starts a run of the process. It calls onUnexpectedExit if the run exits without terminate.
func (prc *process) start(onUnexpectedExit func(err error)) error {
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
	prc.cmd, prc.exited, prc.stopRequested = cmd, make(chan struct{}), false
	prc.runCount++
	exited := prc.exited
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		prc.mu.Lock()
		requested := prc.stopRequested
		prc.mu.Unlock()
		if !requested {
			onUnexpectedExit(fmt.Errorf("soak: %s exited unexpectedly: %w", prc.name, err))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current run.
func (prc *process) signal(sig syscall.Signal) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	_ = prc.cmd.Process.Signal(sig) // It fails only if the process has exited, which start detects.
}

// terminate sends a signal that stops the current run and returns when it has exited. It kills the process one second
// after the grace time of a planned stop.
func (prc *process) terminate(sig syscall.Signal) {
	prc.mu.Lock()
	prc.stopRequested = true
	exited := prc.exited
	prc.mu.Unlock()
	prc.signal(sig)
	select {
	case <-exited:
	case <-time.After(graceTime + time.Second):
		prc.signal(syscall.SIGKILL)
		<-exited
	}
}

// currentRun returns the number of the current run, from 1.
func (prc *process) currentRun() int {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.runCount
}
