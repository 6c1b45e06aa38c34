package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
)

const (
	loadVariants = 8      // different requests, half of them long
	loadMost     = 20_000 // requests after which a load stops by itself
	loadTries    = 500    // entries that a request is offered to before it counts as lost
)

var errWrong = errors.New("the response is incomplete, or not that of the engine")

// traffic is a steady load in the background: a number of callers behind a balancer, each with one request at a time.
type traffic struct {
	entries []string // names
	bodies  []string
	want    []string // the text of each body's answer
	stop    atomic.Bool
	wait    sync.WaitGroup
	begun   atomic.Int64
	done    atomic.Int64 // answered once, whole and right

	mu     sync.Mutex
	failed []string
}

// startLoad starts a load: NAME MODEL engine=NAME entries=NAME,NAME [workers=N]. The answers are compared with those of
// the engine, whose text depends on the body alone.
func startLoad(scn *scenario, args []string) error {
	words, opts := options(args)
	if len(words) != 2 {
		return errors.New("usage: load NAME MODEL engine=NAME entries=NAME,NAME [workers=N]")
	}
	eng, err := scn.address(take(opts, "engine", ""))
	if err != nil {
		return err
	}
	workers, err := strconv.Atoi(take(opts, "workers", "8"))
	if err != nil {
		return err
	}
	trf := &traffic{entries: strings.Split(take(opts, "entries", ""), ",")}
	for idx := range loadVariants {
		if err := trf.addVariant(eng, words[1], idx); err != nil {
			return err
		}
	}
	scn.loads[words[0]] = trf
	addrs := make([]string, len(trf.entries))
	for idx, name := range trf.entries {
		if addrs[idx], err = scn.address(name); err != nil {
			return err
		}
	}
	for num := range workers {
		trf.wait.Go(func() { trf.work(addrs, num) })
	}
	return nil
}

// addVariant adds a request: even ones have short prompts and answers, odd ones long ones.
func (trf *traffic) addVariant(eng, model string, idx int) error {
	words, tokens := 50+idx, 10
	if idx%2 == 1 {
		words, tokens = 4_000, 100
	}
	body, err := json.Marshal(map[string]any{
		"model": model, "prompt": strings.Repeat(fmt.Sprint("w", idx, " "), words), "max_tokens": tokens,
		"stream": true,
	})
	if err != nil {
		return err
	}
	cal, err := begin(http.MethodPost, "http://"+eng+"/v1/completions", "desk", string(body))
	if err != nil {
		return err
	}
	if err := cal.check(nil, map[string]string{}); err != nil {
		return err
	}
	trf.bodies = append(trf.bodies, string(body))
	trf.want = append(trf.want, completionText(cal.body))
	return nil
}

func (trf *traffic) work(addrs []string, num int) {
	for !trf.stop.Load() && trf.begun.Add(1) <= loadMost {
		idx := num % loadVariants
		if err := trf.request(addrs, num, idx); err != nil {
			trf.mu.Lock()
			trf.failed = append(trf.failed, err.Error())
			trf.mu.Unlock()
		} else {
			trf.done.Add(1)
		}
		num++
	}
}

// request offers a request as a balancer does: to an entry that says that it is ready. It goes on to the next one only
// if the connection is refused or the entry is stopping.
func (trf *traffic) request(addrs []string, num, idx int) error {
	for try := range loadTries {
		addr := "http://" + addrs[(num+try)%len(addrs)]
		if _, err := fetch(strings.TrimPrefix(addr, "http://") + "/readyz"); err != nil {
			time.Sleep(pollInterval)
			continue
		}
		cal, err := begin(http.MethodPost, addr+"/v1/completions", "desk", trf.bodies[idx])
		if err != nil {
			return err
		}
		<-cal.done
		cal.cancel()
		draining := gjson.GetBytes(cal.body, "error.code").String() == "draining" &&
			gjson.GetBytes(cal.body, "error.not_run").Bool()
		refused := cal.err != nil && strings.Contains(cal.err.Error(), "connection refused")
		if draining || refused {
			continue
		}
		if cal.err != nil || cal.status != http.StatusOK || completionText(cal.body) != trf.want[idx] {
			return fmt.Errorf("%s: status %d, %.2000s: %w", addr, cal.status, cal.body, errors.Join(cal.err, errWrong))
		}
		return nil
	}
	return errors.New("no entry took the request")
}

// awaitLoad waits until a load has had a number of further right answers: NAME COUNT.
func awaitLoad(scn *scenario, args []string) error {
	if len(args) != 2 || scn.loads[args[0]] == nil {
		return errors.New("usage: answered LOAD COUNT")
	}
	count, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return err
	}
	trf := scn.loads[args[0]]
	goal := trf.done.Load() + count
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollInterval) {
		if trf.done.Load() >= goal {
			return nil
		}
	}
	return errors.New("the load gets no answers")
}

// endLoad stops a load, and fails if a request was lost, cut off or answered wrongly: NAME.
func endLoad(scn *scenario, args []string) error {
	if len(args) != 1 || scn.loads[args[0]] == nil {
		return errors.New("usage: unload LOAD")
	}
	trf := scn.loads[args[0]]
	trf.stop.Store(true)
	trf.wait.Wait()
	trf.mu.Lock()
	defer trf.mu.Unlock()
	if len(trf.failed) > 0 {
		return fmt.Errorf("%d of %d requests failed, the first: %s",
			len(trf.failed), int64(len(trf.failed))+trf.done.Load(), trf.failed[0])
	}
	scn.log("load: all requests answered once and whole: " + strconv.FormatInt(trf.done.Load(), 10))
	return nil
}
