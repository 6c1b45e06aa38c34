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

// call is a request of a scenario, perhaps still under way.
type call struct {
	cancel context.CancelFunc
	first  chan struct{} // closed when the first byte of the body has arrived, or the call has ended
	done   chan struct{}
	status int
	body   []byte
	err    error // of a response that ended before it was complete
}

func begin(method, addr, key, body string, headers ...string) (*call, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	cal := &call{cancel: cancel, first: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(cal.done)
		var once sync.Once
		arrived := func() { once.Do(func() { close(cal.first) }) }
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

// ask sends a completion request. With as=NAME it goes on in the background; see first, finish and leave.
func ask(scn *scenario, args []string) error {
	words, opts := options(args)
	if len(words) != 2 {
		return errors.New("usage: ask PROCESS MODEL [as=NAME] [account=NAME] [tokens=N] [stream=BOOL] [prompt=TEXT]")
	}
	addr, err := scn.address(words[0])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(take(opts, "tokens", "4"))
	if err != nil {
		return err
	}
	stream, err := strconv.ParseBool(take(opts, "stream", "false"))
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{
		"model": words[1], "prompt": take(opts, "prompt", "a flat with two rooms"),
		"max_tokens": tokens, "stream": stream,
	})
	if err != nil {
		return err
	}
	name := take(opts, "as", "")
	cal, err := begin(http.MethodPost, "http://"+addr+"/v1/completions", take(opts, "account", "desk"), string(body))
	if err != nil {
		return err
	}
	if name != "" {
		scn.calls[name] = cal
		return nil
	}
	return cal.check(scn, opts)
}

func (scn *scenario) call(args []string) (*call, map[string]string, error) {
	words, opts := options(args)
	if len(words) != 1 || scn.calls[words[0]] == nil {
		return nil, nil, fmt.Errorf("want the name of a request under way, got %v", words)
	}
	return scn.calls[words[0]], opts, nil
}

// waitFirst waits for the first bytes of a response.
func waitFirst(scn *scenario, args []string) error {
	cal, _, err := scn.call(args)
	if err != nil {
		return err
	}
	<-cal.first
	select {
	case <-cal.done:
		return fmt.Errorf("the response ended: status %d, %s, %w", cal.status, cal.body, cal.err)
	default:
		return nil
	}
}

func finish(scn *scenario, args []string) error {
	cal, opts, err := scn.call(args)
	if err != nil {
		return err
	}
	return cal.check(scn, opts)
}

// leave ends a request from the caller's side.
func leave(scn *scenario, args []string) error {
	cal, _, err := scn.call(args)
	if err != nil {
		return err
	}
	cal.cancel()
	<-cal.done
	return nil
}

// check waits for the end of a call and compares it with status, code, body, text, end and save.
func (cal *call) check(scn *scenario, opts map[string]string) error {
	<-cal.done
	cal.cancel()
	end := "complete"
	if cal.err != nil {
		end = "broken"
	}
	code := gjson.GetBytes(cal.body, "error.code").String()
	seen := fmt.Sprintf("status %d, end %s (%v), body %.300s", cal.status, end, cal.err, cal.body)
	want := take(opts, "status", "200")
	if want != "any" && want != strconv.Itoa(cal.status) || take(opts, "end", "complete") != end {
		return errors.New(seen)
	}
	if take(opts, "code", code) != code {
		return fmt.Errorf("code %s: %s", code, seen)
	}
	exp, err := regexp.Compile(take(opts, "body", ""))
	if err != nil {
		return err
	}
	if !exp.Match(cal.body) {
		return fmt.Errorf("no match for %s: %s", exp, seen)
	}
	if file := take(opts, "save", ""); file != "" {
		if err := os.WriteFile(filepath.Join(scn.dir, file), []byte(completionText(cal.body)), 0o600); err != nil {
			return err
		}
	}
	for key := range opts {
		return fmt.Errorf("unknown word %q", key)
	}
	return nil
}

// completionText returns the generated text of a completion, streamed or whole, and a last line that tells whether a
// stream was ended by its end mark.
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

// httpCall sends a plain request: PROCESS PATH [account=NAME] [data=TEXT] and the words of check.
func httpCall(method string) verb {
	return func(scn *scenario, args []string) error {
		if len(args) < 2 {
			return errors.New("needs a process and a path")
		}
		addr, err := scn.address(args[0])
		if err != nil {
			return err
		}
		_, opts := options(args[2:])
		cal, err := begin(method, "http://"+addr+args[1], take(opts, "account", ""), take(opts, "data", ""))
		if err != nil {
			return err
		}
		return cal.check(scn, opts)
	}
}

// fetch returns the body of a successful GET.
func fetch(addr string) (string, error) {
	cal, err := begin(http.MethodGet, "http://"+addr, "", "")
	if err != nil {
		return "", err
	}
	err = cal.check(nil, map[string]string{})
	return string(cal.body), err
}

// checkActive compares the number of requests that an engine holds: ENGINE COUNT.
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
		return fmt.Errorf("%s active requests, want %s", num, args[1])
	}
	return nil
}

var metricsAddress = regexp.MustCompile(`metrics.* address=(\S+)`)

// checkMetric checks the value of a metric: PROCESS METRIC [min=N] [max=N]. A metric that is absent counts as 0.
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
	_, opts := options(args[2:])
	low, err1 := strconv.ParseFloat(take(opts, "min", "-inf"), 64)
	high, err2 := strconv.ParseFloat(take(opts, "max", "inf"), 64)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	if got < low || got > high {
		return fmt.Errorf("%s is %v, want %v to %v", args[1], got, low, high)
	}
	return nil
}

// checkReady asks a process on its metrics address whether it is ready: PROCESS [status=N].
func checkReady(scn *scenario, args []string) error {
	if len(args) == 0 || scn.processes[args[0]] == nil {
		return errors.New("usage: readyz PROCESS [status=N]")
	}
	addr := metricsAddress.FindStringSubmatch(scn.processes[args[0]].text())
	if addr == nil {
		return fmt.Errorf("%s serves no metrics", args[0])
	}
	cal, err := begin(http.MethodGet, "http://"+addr[1]+"/readyz", "", "")
	if err != nil {
		return err
	}
	_, opts := options(args[1:])
	return cal.check(scn, opts)
}

// addProxyRoute puts a route in front of a process: PROXY NAME TARGET. Its name then stands for the target.
func addProxyRoute(scn *scenario, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: route PROXY NAME TARGET")
	}
	target, err := scn.address(args[2])
	if err != nil {
		return err
	}
	query := url.Values{"name": {args[1]}, "listen": {anyPort()}, "target": {target}}
	body, err := scn.control(args[0], "/routes?"+query.Encode())
	if err == nil {
		scn.addresses[args[1]] = gjson.Get(body, "listen").String()
	}
	return err
}

// setFault changes faults of a route: PROXY ROUTE KEY=VALUE...
func setFault(scn *scenario, args []string) error {
	words, opts := options(args)
	if len(words) != 2 || len(opts) == 0 {
		return errors.New("usage: fault PROXY ROUTE KEY=VALUE")
	}
	query := make(url.Values)
	for key, val := range opts {
		query.Set(key, val)
	}
	_, err := scn.control(words[0], "/routes/"+words[1]+"?"+query.Encode())
	return err
}

func heal(scn *scenario, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: heal PROXY ROUTE")
	}
	_, err := scn.control(args[0], "/routes/"+args[1]+"/heal")
	return err
}

func (scn *scenario) control(name, path string) (string, error) {
	addr, err := scn.address(name)
	if err != nil {
		return "", err
	}
	cal, err := begin(http.MethodPost, "http://"+addr+path, "", "")
	if err != nil {
		return "", err
	}
	err = cal.check(scn, map[string]string{})
	return string(cal.body), err
}

// listVM adds or changes a VM in a list: LIST NAME ROLE STATE [at=PROCESS]. The address is that of the process of the
// same name unless another one is given.
func listVM(scn *scenario, args []string) error {
	words, opts := options(args)
	if len(words) != 4 {
		return errors.New("usage: vm LIST NAME entry|agent live|leaving|gone [at=PROCESS]")
	}
	addr, err := scn.address(take(opts, "at", words[1]))
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
	cal, err := begin(http.MethodPost, "http://"+list+"/sim/vms", "", string(body))
	if err != nil {
		return err
	}
	return cal.check(scn, opts)
}
