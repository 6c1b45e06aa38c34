package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// fetch returns the body of a successful GET.
func fetch(addr string) (string, error) {
	cal, err := startCall(http.MethodGet, "http://"+addr, "", "")
	if err != nil {
		return "", err
	}
	err = cal.check(nil, map[string]string{})
	return string(cal.body), err
}

// checkActive checks the number of requests in flight at an engine: ENGINE COUNT.
func checkActive(scn *scenario, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: active ENGINE COUNT")
	}
	addr, err := scn.address(args[0])
	if err != nil {
		return err
	}
	body, err := fetch(addr + "/v1/requests")
	if err != nil {
		return err
	}
	if num := gjson.Get(body, "requests.#").String(); num != args[1] {
		return fmt.Errorf("%s requests are in flight, want %s", num, args[1])
	}
	return nil
}

var metricsAddress = regexp.MustCompile(`metrics.* address=(\S+)`)

// checkMetric checks the value of a metric: PROCESS METRIC [min=N] [max=N]. A missing metric counts as 0.
func checkMetric(scn *scenario, args []string) error {
	if len(args) < 2 || scn.processes[args[0]] == nil {
		return errors.New("usage: metric PROCESS METRIC [min=N] [max=N]")
	}
	addr := metricsAddress.FindStringSubmatch(scn.processes[args[0]].text())
	if addr == nil {
		return fmt.Errorf("%s serves no metrics", args[0])
	}
	body, err := fetch(addr[1] + "/metrics")
	if err != nil {
		return err
	}
	got := 0.0
	for _, line := range strings.Split(body, "\n") {
		if val, ok := strings.CutPrefix(line, args[1]+" "); ok {
			got, err = strconv.ParseFloat(val, 64)
		}
	}
	if err != nil {
		return err
	}
	_, opts := splitOptions(args[2:])
	low, err1 := strconv.ParseFloat(takeOption(opts, "min", "-inf"), 64)
	high, err2 := strconv.ParseFloat(takeOption(opts, "max", "inf"), 64)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	if got < low || got > high {
		return fmt.Errorf("%s is %v, want %v to %v", args[1], got, low, high)
	}
	return nil
}

// checkReady checks the readiness of a process at its metrics address: PROCESS [status=N].
func checkReady(scn *scenario, args []string) error {
	if len(args) == 0 || scn.processes[args[0]] == nil {
		return errors.New("usage: readyz PROCESS [status=N]")
	}
	addr := metricsAddress.FindStringSubmatch(scn.processes[args[0]].text())
	if addr == nil {
		return fmt.Errorf("%s serves no metrics", args[0])
	}
	cal, err := startCall(http.MethodGet, "http://"+addr[1]+"/readyz", "", "")
	if err != nil {
		return err
	}
	_, opts := splitOptions(args[1:])
	return cal.check(scn, opts)
}

// addProxyRoute adds a proxy route to a process: PROXY NAME TARGET. Scripts use its name in place of the target's.
func addProxyRoute(scn *scenario, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: route PROXY NAME TARGET")
	}
	target, err := scn.address(args[2])
	if err != nil {
		return err
	}
	query := url.Values{"name": {args[1]}, "listen": {unusedAddress()}, "target": {target}}
	body, err := scn.postControl(args[0], "/routes?"+query.Encode())
	if err == nil {
		scn.addresses[args[1]] = gjson.Get(body, "listen").String()
	}
	return err
}

// setFault sets faults of a proxy route: PROXY ROUTE KEY=VALUE...
func setFault(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 2 || len(opts) == 0 {
		return errors.New("usage: fault PROXY ROUTE KEY=VALUE")
	}
	query := make(url.Values)
	for key, val := range opts {
		query.Set(key, val)
	}
	_, err := scn.postControl(words[0], "/routes/"+words[1]+"?"+query.Encode())
	return err
}

// healRoute removes all faults of a proxy route: PROXY ROUTE.
func healRoute(scn *scenario, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: heal PROXY ROUTE")
	}
	_, err := scn.postControl(args[0], "/routes/"+args[1]+"/heal")
	return err
}

// postControl sends a POST request to the control API of a process.
func (scn *scenario) postControl(name, path string) (string, error) {
	addr, err := scn.address(name)
	if err != nil {
		return "", err
	}
	cal, err := startCall(http.MethodPost, "http://"+addr+path, "", "")
	if err != nil {
		return "", err
	}
	err = cal.check(scn, map[string]string{})
	return string(cal.body), err
}

// putVM adds a VM to a VM list or changes it: LIST NAME ROLE STATE [at=PROCESS]. The address of the VM is that of the
// process of the same name, or of the one that is given.
func putVM(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 4 {
		return errors.New("usage: vm LIST NAME entry|agent live|leaving|gone [at=PROCESS]")
	}
	addr, err := scn.address(takeOption(opts, "at", words[1]))
	if err != nil {
		return err
	}
	list, err := scn.address(words[0])
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]string{
		"name": words[1], "role": words[2], "state": words[3], "address": addr, "data-centre": "dc1",
	})
	if err != nil {
		return err
	}
	cal, err := startCall(http.MethodPost, "http://"+list+"/sim/vms", "", string(body))
	if err != nil {
		return err
	}
	return cal.check(scn, opts)
}
