package main

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"
)

// Times, rates and sizes of the case, as on a site file of a small deployment.
const (
	replicaCount    = 23
	frontCount      = 4
	tenantCount     = 10
	firstParts      = 60
	promptTokens    = 5000
	callsPerS       = 47
	deadlyPartShare = 0.05
	deadlyCallShare = 0.03
	calmBefore      = 12 * time.Second
	deadlyPartFor   = 22 * time.Second
	deadlyCallFor   = 20 * time.Second
	playTail        = 4 * time.Second
	stableWindow    = 3 * time.Second
	deadlyPart      = "dead10cc"
	partTokens      = 40   // of each part but the last
	callPath        = "2f" // after the prefix of the route
	// recurringPrefix is the prompt of the request that crashes replicas and comes again.
	recurringPrefix = "f000:40,c0ffee07:4960"
	readyTimeout    = 10 * time.Second
	maxReached      = 3 // deadly requests that may still reach replicas
)

// streamConfig returns a configuration with one streaming route.
func streamConfig(service, host, prefix string) []byte {
	tenants := ""
	for num := range tenantCount {
		if num > 0 {
			tenants += ","
		}
		tenants += fmt.Sprintf(`{"Name":"tenant%d","ApiKeys":["key%d"],"Priority":1}`, num, num)
	}
	return []byte(fmt.Sprintf(`{"Version":3,"Routes":[{"Name":"r-1","Host":%q,"PathPrefix":%q,"Kind":"streaming",`+
		`"TimeoutMs":10000,"GoalMs":300,"Priority":1,"Service":%q,"MaxAttempts":2,"Anonymous":false,"Sticky":true,`+
		`"Resumable":true,"GapTargetMs":250}],"Services":[{"Name":%q,"HealthPath":"/healthz","MaxConns":364,`+
		`"Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCacheTokens":315000,"KvTokenBytes":163840,`+
		`"LinkMbps":400000.0,"Stride":51,"Models":[{"Name":"m"}],"step_ms":0.85,"per_seq_ms":0.00425,`+
		`"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,`+
		`"LoadsPerS":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":5000,"answer":1683},"HopMs":0.05}}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},`+
		`"Tenants":[%s]}`, host, prefix, service, service, tenants))
}

// deadlyPlay says how requests with the deadly part look, and when they crash a replica.
type deadlyPlay struct {
	// afterFirstEvent is set if the replica crashes after the first event of its answer, and not before.
	afterFirstEvent bool
	// sessionParts is the number of parts that the requests of a session share, besides the first part of the prompt.
	// The deadly part follows them.
	sessionParts int
	// recurring is set if one and the same request crashes replicas and comes again, instead of a part of many prompts.
	recurring bool
	// queryVaries is set if the query of a recurring request differs each time.
	queryVaries bool
}

// judgedAfter is the number of the crash after which the rule counts.
func (ddl *deadlyPlay) judgedAfter() int {
	if ddl.recurring {
		return 3
	}
	return 5
}

// length is how long deadly requests come.
func (ddl *deadlyPlay) length() time.Duration {
	if ddl.recurring {
		return deadlyCallFor
	}
	return deadlyPartFor
}

// share is the share of deadly requests among all, as in the examples of the pages.
func (ddl *deadlyPlay) share() float64 {
	if ddl.recurring {
		return deadlyCallShare
	}
	return deadlyPartShare
}

// playFirstEvent plays a part that crashes each replica that has begun to write an answer on it: the replica crashes
// after the first event of its stream. With CRASH=before, it crashes before that event.
func playFirstEvent(ply *play) (broken bool, err error) {
	return playDeadly(ply, deadlyPlay{afterFirstEvent: os.Getenv("CRASH") != "before"})
}

// playManyParts plays a part that crashes each replica before the first event of its answer, in prompts of many parts.
// With PARTS=few, the prompts have few parts.
func playManyParts(ply *play) (broken bool, err error) {
	if os.Getenv("PARTS") == "few" {
		return playDeadly(ply, deadlyPlay{sessionParts: 2})
	}
	return playDeadly(ply, deadlyPlay{sessionParts: 16})
}

// playQuery plays a request that crashes each replica that begins to run it, and comes again with the same path, caller
// and body, but another query. With QUERY=same, the query is the same too.
func playQuery(ply *play) (broken bool, err error) {
	return playDeadly(ply, deadlyPlay{recurring: true, queryVaries: os.Getenv("QUERY") != "same"})
}

// playDeadly plays requests with the deadly part beside sound ones.
func playDeadly(ply *play, ddl deadlyPlay) (broken bool, err error) {
	const service, host, prefix = "huvo11a", "ficu95.example", "/lohu930/"
	str := startStore()
	str.put(topicOperator, "config", streamConfig(service, host, prefix))
	flt := &fleet{
		store: str, rec: ply.rec, service: service, afterFirstEvent: ddl.afterFirstEvent,
	}
	for range replicaCount {
		flt.start()
	}
	var fronts []*front
	for num := range frontCount {
		frt, err := startFront(ply.root, ply.dir, fmt.Sprintf("edge-%d", num+1), "z1", str.address)
		if err != nil {
			return false, err
		}
		fronts = append(fronts, frt)
	}
	for _, frt := range fronts {
		if err := frt.awaitReady(readyTimeout); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second) // The fronts find each other.
	calls := sendCalls(ply, newClients(ply.rec, fronts, host, prefix, promptTokens), &ddl)
	return judgeDeadly(ply, flt, calls, &ddl), nil
}

// pickSession picks a session, and with it the first part of a prompt. Some are more frequent than others: the weight of
// the one with number n, from 0, is 1/sqrt(n+1).
func pickSession(rnd *rand.Rand) int {
	total := 0.0
	for num := range firstParts {
		total += 1 / math.Sqrt(float64(num+1))
	}
	point := rnd.Float64() * total
	for num := range firstParts {
		if point -= 1 / math.Sqrt(float64(num+1)); point < 0 {
			return num
		}
	}
	return firstParts - 1
}

// promptPrefix returns the parts of a prompt: the first one, those of the session, the deadly one if there is one, and
// the request's own.
func promptPrefix(rnd *rand.Rand, sessionParts int, deadly bool) string {
	session := pickSession(rnd)
	parts := []string{fmt.Sprintf("f%03x:%d", session, partTokens)}
	for num := range sessionParts {
		parts = append(parts, fmt.Sprintf("a%03x%02x:%d", session, num, partTokens))
	}
	if deadly {
		parts = append(parts, fmt.Sprintf("%s:%d", deadlyPart, partTokens))
	}
	parts = append(parts, fmt.Sprintf("%08x:%d", rnd.Uint32(), promptTokens-partTokens*len(parts)))
	return strings.Join(parts, ",")
}

// sendCalls sends calls at a steady rate and waits for their ends.
func sendCalls(ply *play, cls *clients, ddl *deadlyPlay) []*streamCall {
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	start := time.Now()
	var calls []*streamCall
	var wg sync.WaitGroup
	for num := 0; time.Since(start) < calmBefore+ddl.length()+playTail; num++ {
		since := time.Since(start)
		cal := &streamCall{name: fmt.Sprintf("c%d", num), key: fmt.Sprintf("key%d", rnd.Intn(tenantCount))}
		cal.deadly = ply.trouble && since > calmBefore && since < calmBefore+ddl.length() && rnd.Float64() < ddl.share()
		cal.prefix, cal.path = promptPrefix(rnd, ddl.sessionParts, cal.deadly && !ddl.recurring), callPath
		if cal.deadly && ddl.recurring {
			cal.key, cal.prefix, cal.path = "key0", recurringPrefix, callPath+"?try=0"
		}
		if cal.deadly && ddl.queryVaries {
			cal.path = fmt.Sprintf("%s?try=%d", callPath, num)
		}
		calls = append(calls, cal)
		wg.Add(1)
		go func() {
			defer wg.Done()
			cls.run(cal, num)
		}()
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) / callsPerS))
	}
	wg.Wait()
	return calls
}

// soundFigures counts sound calls of a span of time.
type soundFigures struct{ sent, begun, complete int }

func (fig *soundFigures) add(cal *streamCall) {
	fig.sent++
	if cal.begun {
		fig.begun++
	}
	if cal.complete {
		fig.complete++
	}
}

// judgeDeadly tells whether more requests with the deadly part reached replicas than the rule allows.
func judgeDeadly(ply *play, flt *fleet, calls []*streamCall, ddl *deadlyPlay) (broken bool) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	start := calls[0].sentAt
	var calm, late soundFigures
	known := time.Time{} // the moment from which the rule counts, after the stable window
	if len(flt.crashes) >= ddl.judgedAfter() {
		known = flt.crashes[ddl.judgedAfter()-1]
	}
	for _, cal := range calls {
		switch {
		case cal.deadly:
		case cal.sentAt.Before(start.Add(calmBefore)):
			calm.add(cal)
		case !known.IsZero() && cal.sentAt.After(known.Add(2*stableWindow)) &&
			cal.sentAt.Before(start.Add(calmBefore+ddl.length())):
			late.add(cal)
		}
	}
	reached, after := make(map[string]bool), make(map[string]bool) // by request ID
	for _, arv := range flt.arrivals {
		reached[arv.id] = true
		if !known.IsZero() && arv.at.After(known.Add(stableWindow)) {
			after[arv.id] = true
		}
	}
	ply.rec.say("crashes: %d; deadly requests that reached replicas: %d, of these later than %v after crash %d: %d "+
		"(%d allowed)", len(flt.crashes), len(reached), stableWindow, ddl.judgedAfter(), len(after), maxReached)
	ply.rec.say("sound requests, calm: %+v; from %v after that crash: %+v", calm, 2*stableWindow, late)
	return len(after) > maxReached
}
