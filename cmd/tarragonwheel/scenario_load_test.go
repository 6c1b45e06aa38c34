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
	loadVariants    = 8      // different requests, half of them long
	maxLoadRequests = 20_000 // after which a load stops by itself
	maxEntryTries   = 500    // after which a request counts as failed
)

var errWrongResponse = errors.New("the response is incomplete, or not that of the engine")

// backgroundLoad is a steady load in the background: several callers behind a load balancer, each with one request at a
// time.
type backgroundLoad struct {
	entries   []string // names
	bodies    []string
	wantTexts []string // expected text of the answer to each body
	stop      atomic.Bool
	workers   sync.WaitGroup
	started   atomic.Int64
	answered  atomic.Int64 // with a complete and correct response

	mu     sync.Mutex
	failed []string
}

// startLoad starts a load: NAME MODEL engine=NAME entries=NAME,NAME [workers=N]. The responses are compared with those
// that the engine gives directly; their text depends on the body alone.
func startLoad(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 2 {
		return errors.New("usage: load NAME MODEL engine=NAME entries=NAME,NAME [workers=N]")
	}
	eng, err := scn.address(takeOption(opts, "engine", ""))
	if err != nil {
		return err
	}
	workers, err := strconv.Atoi(takeOption(opts, "workers", "8"))
	if err != nil {
		return err
	}
	bgl := &backgroundLoad{entries: strings.Split(takeOption(opts, "entries", ""), ",")}
	for idx := range loadVariants {
		if err := bgl.addVariant(eng, words[1], idx); err != nil {
			return err
		}
	}
	scn.loads[words[0]] = bgl
	addrs := make([]string, len(bgl.entries))
	for idx, name := range bgl.entries {
		if addrs[idx], err = scn.address(name); err != nil {
			return err
		}
	}
	for num := range workers {
		bgl.workers.Go(func() { bgl.runWorker(addrs, num) })
	}
	return nil
}

// addVariant adds a request to the load. Those with an even index have short prompts and answers, the others long ones.
func (bgl *backgroundLoad) addVariant(eng, model string, idx int) error {
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
	cal, err := startCall(http.MethodPost, "http://"+eng+"/v1/completions", "desk", string(body))
	if err != nil {
		return err
	}
	if err := cal.check(nil, map[string]string{}); err != nil {
		return err
	}
	bgl.bodies = append(bgl.bodies, string(body))
	bgl.wantTexts = append(bgl.wantTexts, completionText(cal.body))
	return nil
}

// runWorker sends one request after the other until the load stops. Worker num starts with variant num.
func (bgl *backgroundLoad) runWorker(addrs []string, num int) {
	for !bgl.stop.Load() && bgl.started.Add(1) <= maxLoadRequests {
		idx := num % loadVariants
		if err := bgl.request(addrs, num, idx); err != nil {
			bgl.mu.Lock()
			bgl.failed = append(bgl.failed, err.Error())
			bgl.mu.Unlock()
		} else {
			bgl.answered.Add(1)
		}
		num++
	}
}

// request sends a request as a load balancer does: to an entry that reports that it is ready. It tries the next entry
// only if the connection is refused or the entry is draining.
func (bgl *backgroundLoad) request(addrs []string, num, idx int) error {
	for try := range maxEntryTries {
		addr := "http://" + addrs[(num+try)%len(addrs)]
		if _, err := fetch(strings.TrimPrefix(addr, "http://") + "/readyz"); err != nil {
			time.Sleep(pollInterval)
			continue
		}
		cal, err := startCall(http.MethodPost, addr+"/v1/completions", "desk", bgl.bodies[idx])
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
		if cal.err != nil || cal.status != http.StatusOK || completionText(cal.body) != bgl.wantTexts[idx] {
			return fmt.Errorf("%s: status %d, %.2000s: %w",
				addr, cal.status, cal.body, errors.Join(cal.err, errWrongResponse))
		}
		return nil
	}
	return errors.New("no entry accepted the request")
}

// waitAnswered waits until a load has received COUNT more correct responses: NAME COUNT.
func waitAnswered(scn *scenario, args []string) error {
	if len(args) != 2 || scn.loads[args[0]] == nil {
		return errors.New("usage: answered LOAD COUNT")
	}
	count, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return err
	}
	bgl := scn.loads[args[0]]
	want := bgl.answered.Load() + count
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if bgl.answered.Load() >= want {
			return nil
		}
	}
	return errors.New("the load received too few responses in time")
}

// stopLoad stops a load, and fails if a response was missing, incomplete or wrong: NAME.
func stopLoad(scn *scenario, args []string) error {
	if len(args) != 1 || scn.loads[args[0]] == nil {
		return errors.New("usage: unload LOAD")
	}
	bgl := scn.loads[args[0]]
	bgl.stop.Store(true)
	bgl.workers.Wait()
	bgl.mu.Lock()
	defer bgl.mu.Unlock()
	if len(bgl.failed) > 0 {
		return fmt.Errorf("%d of %d requests failed, the first: %s",
			len(bgl.failed), int64(len(bgl.failed))+bgl.answered.Load(), bgl.failed[0])
	}
	scn.log("load: all requests were answered completely and correctly: " + strconv.FormatInt(bgl.answered.Load(), 10))
	return nil
}
