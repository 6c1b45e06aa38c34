package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// started holds all fronts that were started, so that all can be ended.
var started struct {
	mu   sync.Mutex
	list []*front
}

// stopAll ends all fronts.
func stopAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, frt := range started.list {
		frt.stop()
	}
	started.list = nil
}

// front is a process of the project, started with the command of the deploy file.
type front struct {
	name    string
	address string // that clients connect to
	ready   string // that the load balancer asks
	cmd     *exec.Cmd
}

// startFront renders the settings template of the deploy file and starts a front with it. The program's output goes to
// a file in dir.
func startFront(root, dir, name, zone, storeAddress string) (*front, error) {
	frt := &front{name: name, address: freeAddress(), ready: freeAddress()}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "front.ini"))
	if err != nil {
		return nil, fmt.Errorf("read the template: %w", err)
	}
	metrics, peers := freeAddress(), freeAddress()
	text := strings.NewReplacer(
		"{{NodeName}}", name, "{{Zone}}", zone, "{{ListenAddrs.Front}}", frt.address,
		"{{ListenAddrs.Ready}}", frt.ready, "{{Platform.Address}}", storeAddress,
		"{{Ip}}:{{PortRange.0}}", metrics, "{{Ip}}:{{PortRange.1}}", peers,
		"{{Limits.MemoryMb}}", "284", "{{Bounds.GraceS}}", "8", "{{Bounds.IdleMaxMs}}", "9000",
		"{{Bounds.DrainMs}}", "2000", "{{Bounds.ConfigApplyMs}}", "2000", "{{Bounds.RetryBudgetRatio}}", "0.2",
		"{{Bounds.BudgetExtra}}", "102", "{{Bounds.BudgetWindowS}}", "10",
		"{{#Zones}}{{@}}:{{.}}{{,}}{{/Zones}}", zone+":west",
	).Replace(string(template))
	settings := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	out, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("open the log: %w", err)
	}
	frt.cmd = exec.Command(filepath.Join(root, "target", "tarragonwheel"), "front", "--settings", settings)
	frt.cmd.Dir, frt.cmd.Stdout, frt.cmd.Stderr = root, out, out
	if err := frt.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start a front: %w", err)
	}
	started.mu.Lock()
	started.list = append(started.list, frt)
	started.mu.Unlock()
	return frt, nil
}

// stop ends the process.
func (frt *front) stop() {
	_ = frt.cmd.Process.Kill()
	_ = frt.cmd.Wait()
}

// awaitReady waits until the front says that it is ready.
func (frt *front) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + frt.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", frt.name)
}
