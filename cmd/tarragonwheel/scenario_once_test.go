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

// booking is one request with an idempotency key. Several requests may carry the same key; sendID tells them apart.
type booking struct {
	*call
	service string
	key     string
	sendID  string
}

// sendBooking sends a call that must run at most once: ENTRY SERVICE KEY and the options of docs/SCENARIOS.md.
func sendBooking(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 3 {
		return errors.New("usage: book ENTRY SERVICE KEY [WORD=VALUE]")
	}
	addr, err := scn.address(words[0])
	if err != nil {
		return err
	}
	bok := &booking{service: words[1], key: words[2], sendID: strconv.Itoa(len(scn.bookings) + 1)}
	bok.call, err = startCall(http.MethodPost, "http://"+addr+"/v1/services/"+bok.service+"/book",
		takeOption(opts, "account", "desk"), takeOption(opts, "data", "one"), simsvc.HeaderKey, bok.key,
		simsvc.HeaderSendID, bok.sendID, simsvc.HeaderResponseBytes, takeOption(opts, "size", "0"),
		edge.HeaderTimeLimit, takeOption(opts, "limit", "60s"))
	if err != nil {
		return err
	}
	scn.bookings = append(scn.bookings, bok)
	if name := takeOption(opts, "as", ""); name != "" {
		scn.calls[name] = bok.call
		return nil
	}
	return bok.check(scn, opts)
}

// executions returns the calls that a simulated service has executed.
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

// checkExecutions checks how often a service executed the calls with a key: SERVICE KEY COUNT.
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
		return fmt.Errorf("key %s was executed %s times, want %s", args[1], got, args[2])
	}
	return nil
}

var executionNumber = regexp.MustCompile(`^execution (\d+)`)

// checkBookings waits for all bookings and compares their answers with what a service executed: SERVICE. No key may be
// executed twice, an answer must name the execution of its own key, and a call that was refused as not run must not
// have been executed.
func checkBookings(scn *scenario, args []string) error {
	list, err := scn.executions(args[0])
	if err != nil {
		return err
	}
	byKey, bySend := make(map[string]simsvc.Execution), make(map[string]bool)
	for _, exe := range list {
		if other, twice := byKey[exe.Key]; twice {
			return fmt.Errorf("key %s was executed twice: %v and %v", exe.Key, other, exe)
		}
		byKey[exe.Key], bySend[exe.Send] = exe, true
	}
	for _, bok := range scn.bookings {
		<-bok.done
		if found := executionNumber.FindSubmatch(bok.body); found != nil {
			if got := string(found[1]); got != strconv.Itoa(byKey[bok.key].Number) {
				return fmt.Errorf("key %s was answered with execution %s, but had %v", bok.key, got, byKey[bok.key])
			}
		}
		if gjson.GetBytes(bok.body, "error.not_run").Bool() && bySend[bok.sendID] {
			return fmt.Errorf("request %s with key %s was executed, but was refused as not run", bok.sendID, bok.key)
		}
	}
	return nil
}
