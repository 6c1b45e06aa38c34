package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
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
