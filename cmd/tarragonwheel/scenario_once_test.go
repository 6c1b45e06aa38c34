package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"github.com/tidwall/gjson"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
)

// booking is one sending of a call that must not be repeated.
type booking struct {
	*call
	service string
	key     string
	send    string
}

// book sends a call that must not be repeated: ENTRY SERVICE KEY and the words of docs/SCENARIOS.md.
func book(scn *scenario, args []string) error {
	words, opts := options(args)
	if len(words) != 3 {
		return errors.New("usage: book ENTRY SERVICE KEY [WORD=VALUE]")
	}
	addr, err := scn.address(words[0])
	if err != nil {
		return err
	}
	bok := &booking{service: words[1], key: words[2], send: strconv.Itoa(len(scn.bookings) + 1)}
	bok.call, err = begin(http.MethodPost, "http://"+addr+"/v1/services/"+bok.service+"/book",
		take(opts, "account", "desk"), take(opts, "data", "one"), simsvc.HeaderKey, bok.key,
		simsvc.HeaderSend, bok.send, simsvc.HeaderSize, take(opts, "size", "0"),
		edge.HeaderTimeLimit, take(opts, "limit", "60s"))
	if err != nil {
		return err
	}
	scn.bookings = append(scn.bookings, bok)
	if name := take(opts, "as", ""); name != "" {
		scn.calls[name] = bok.call
		return nil
	}
	return bok.check(scn, opts)
}

func (scn *scenario) executions(name string) ([]simsvc.Execution, error) {
	addr, err := scn.address(name)
	if err != nil {
		return nil, err
	}
	body, err := fetch(addr + "/sim/executions")
	if err != nil {
		return nil, err
	}
	var list []simsvc.Execution
	return list, json.Unmarshal([]byte(body), &list)
}

// checkExecutions compares how often a key took effect: STAND-IN KEY COUNT.
func checkExecutions(scn *scenario, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: executions SERVICE KEY COUNT")
	}
	list, err := scn.executions(args[0])
	if err != nil {
		return err
	}
	num := 0
	for _, exe := range list {
		if exe.Key == args[1] {
			num++
		}
	}
	if got := strconv.Itoa(num); got != args[2] {
		return fmt.Errorf("key %s took effect %s times, want %s", args[1], got, args[2])
	}
	return nil
}

var executionNumber = regexp.MustCompile(`^execution (\d+)`)

// checkTruth compares the answers to all bookings that have ended with what a stand-in executed: no key took effect
// twice, an answer names the execution of its own key, and what was refused as not run took no effect: STAND-IN.
func checkTruth(scn *scenario, args []string) error {
	list, err := scn.executions(args[0])
	if err != nil {
		return err
	}
	byKey, bySend := make(map[string]simsvc.Execution), make(map[string]bool)
	for _, exe := range list {
		if other, twice := byKey[exe.Key]; twice {
			return fmt.Errorf("key %s took effect twice: %v and %v", exe.Key, other, exe)
		}
		byKey[exe.Key], bySend[exe.Send] = exe, true
	}
	for _, bok := range scn.bookings {
		<-bok.done
		if found := executionNumber.FindSubmatch(bok.body); found != nil {
			if got := string(found[1]); got != strconv.Itoa(byKey[bok.key].Number) {
				return fmt.Errorf("key %s was answered with execution %s, and had %v", bok.key, got, byKey[bok.key])
			}
		}
		if gjson.GetBytes(bok.body, "error.not_run").Bool() && bySend[bok.send] {
			return fmt.Errorf("sending %s of key %s took effect and was refused as not run", bok.send, bok.key)
		}
	}
	return nil
}
