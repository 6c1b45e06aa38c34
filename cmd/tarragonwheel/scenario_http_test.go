package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/tidwall/gjson"
)

var scenarioClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call is a request that a script has sent. It may still be in flight.
type call struct {
	cancel    context.CancelFunc
	firstByte chan struct{} // closed when the first byte of the body arrives, or the call ends
	done      chan struct{}
	status    int
	body      []byte
	err       error // why the call failed or its response is incomplete
}

// startCall sends a request in the background. The key is the name of the client account; headers are pairs of name and
// value.
func startCall(method, addr, key, body string, headers ...string) (*call, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	req, err := http.NewRequestWithContext(ctx, method, addr, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer scenario-key-of-"+key)
	}
	for idx := 0; idx+1 < len(headers); idx += 2 {
		req.Header.Set(headers[idx], headers[idx+1])
	}
	cal := &call{cancel: cancel, firstByte: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(cal.done)
		var once sync.Once
		arrived := func() { once.Do(func() { close(cal.firstByte) }) }
		defer arrived()
		resp, err := scenarioClient.Do(req)
		if err != nil {
			cal.err = err
			return
		}
		defer func() { _ = resp.Body.Close() }()
		cal.status = resp.StatusCode
		buf := make([]byte, 4096)
		for err == nil {
			var num int
			num, err = resp.Body.Read(buf)
			cal.body = append(cal.body, buf[:num]...)
			if num > 0 {
				arrived()
			}
		}
		if !errors.Is(err, io.EOF) {
			cal.err = err
		}
	}()
	return cal, nil
}

// sendCompletion sends a completion request. With as=NAME it runs in the background under that name, which the script
// commands first, finish and leave take.
func sendCompletion(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 2 {
		return errors.New("usage: ask PROCESS MODEL [as=NAME] [account=NAME] [tokens=N] [stream=BOOL] [prompt=TEXT]")
	}
	addr, err := scn.address(words[0])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(takeOption(opts, "tokens", "4"))
	if err != nil {
		return err
	}
	stream, err := strconv.ParseBool(takeOption(opts, "stream", "false"))
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{
		"model": words[1], "prompt": takeOption(opts, "prompt", "a flat with two rooms"),
		"max_tokens": tokens, "stream": stream,
	})
	if err != nil {
		return err
	}
	name := takeOption(opts, "as", "")
	account := takeOption(opts, "account", "desk")
	cal, err := startCall(http.MethodPost, "http://"+addr+"/v1/completions", account, string(body))
	if err != nil {
		return err
	}
	if name != "" {
		scn.calls[name] = cal
		return nil
	}
	return cal.check(scn, opts)
}

// namedCall returns the call that runs in the background under a name, and the options: NAME [KEY=VALUE...].
func (scn *scenario) namedCall(args []string) (*call, map[string]string, error) {
	words, opts := splitOptions(args)
	if len(words) != 1 || scn.calls[words[0]] == nil {
		return nil, nil, fmt.Errorf("want the name of a request in the background, got %v", words)
	}
	return scn.calls[words[0]], opts, nil
}

// waitFirstByte waits for the first bytes of a response in the background, which must not have ended: NAME.
func waitFirstByte(scn *scenario, args []string) error {
	cal, _, err := scn.namedCall(args)
	if err != nil {
		return err
	}
	<-cal.firstByte
	select {
	case <-cal.done:
		return fmt.Errorf("the response ended: status %d, %s, %w", cal.status, cal.body, cal.err)
	default:
		return nil
	}
}

// finishCall waits for the end of a request in the background and checks its response: NAME and the options of check.
func finishCall(scn *scenario, args []string) error {
	cal, opts, err := scn.namedCall(args)
	if err != nil {
		return err
	}
	return cal.check(scn, opts)
}

// disconnect closes the caller's connection of a request in the background: NAME.
func disconnect(scn *scenario, args []string) error {
	cal, _, err := scn.namedCall(args)
	if err != nil {
		return err
	}
	cal.cancel()
	<-cal.done
	return nil
}

// check waits for the end of a call and compares its response with the options status, code, body and end. With
// save=FILE, it writes the generated text to a file.
func (cal *call) check(scn *scenario, opts map[string]string) error {
	<-cal.done
	cal.cancel()
	end := "complete"
	if cal.err != nil {
		end = "broken"
	}
	code := gjson.GetBytes(cal.body, "error.code").String()
	seen := fmt.Sprintf("status %d, end %s (%v), body %.300s", cal.status, end, cal.err, cal.body)
	want := takeOption(opts, "status", "200")
	if want != "any" && want != strconv.Itoa(cal.status) || takeOption(opts, "end", "complete") != end {
		return errors.New(seen)
	}
	if takeOption(opts, "code", code) != code {
		return fmt.Errorf("code %s: %s", code, seen)
	}
	exp, err := regexp.Compile(takeOption(opts, "body", ""))
	if err != nil {
		return err
	}
	if !exp.Match(cal.body) {
		return fmt.Errorf("no match for %s: %s", exp, seen)
	}
	if file := takeOption(opts, "save", ""); file != "" {
		if err := os.WriteFile(filepath.Join(scn.dir, file), []byte(completionText(cal.body)), 0o600); err != nil {
			return err
		}
	}
	for key := range opts {
		return fmt.Errorf("unknown word %q", key)
	}
	return nil
}

// completionText returns the generated text of a completion, streamed or whole. A line break follows the text if the
// response is complete: a whole one, or a stream that ends with its end marker.
func completionText(body []byte) string {
	if gjson.ValidBytes(body) {
		return gjson.GetBytes(body, "choices.0.text").String() + "\n"
	}
	var text strings.Builder
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && data != "[DONE]" {
			text.WriteString(gjson.Get(data, "choices.0.text").String())
		}
	}
	if strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		text.WriteString("\n")
	}
	return text.String()
}

// httpCall sends an HTTP request: PROCESS PATH [account=NAME] [data=TEXT] and the options of check.
func httpCall(method string) scriptCommand {
	return func(scn *scenario, args []string) error {
		if len(args) < 2 {
			return errors.New("needs a process and a path")
		}
		addr, err := scn.address(args[0])
		if err != nil {
			return err
		}
		_, opts := splitOptions(args[2:])
		account, data := takeOption(opts, "account", ""), takeOption(opts, "data", "")
		cal, err := startCall(method, "http://"+addr+args[1], account, data)
		if err != nil {
			return err
		}
		return cal.check(scn, opts)
	}
}

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
