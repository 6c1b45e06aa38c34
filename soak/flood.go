package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// Load of the service that two accounts share: one floods it, the other sends a call now and then.
const (
	// sharedDataCentre is that of the replicas that accounts share. It is not evacuated.
	sharedDataCentre    = "shared"
	sharedReplicas      = 2
	sharedTime          = 200 * time.Millisecond // that a replica works on a call, as its engine is predicted to
	floodClients        = 40                     // each sends one call after the other
	floodPause          = 100 * time.Millisecond // after a call
	modestInterval      = 300 * time.Millisecond // between two calls of the other account
	minModestCalls      = 10                     // below which the share of refused calls is not checked
	maxModestRefusedPct = 20                     // of the calls of the other account that may be refused
)

// startShared starts the replicas of the shared service. They have no faults of their own.
func (sok *Soak) startShared() error {
	for num := range sharedReplicas {
		id := fmt.Sprint("shared-", num)
		srr, err := plsim.StartReplica(id, plsim.EngineService, sharedTime, sok.chk.observer())
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		sok.store.PutReplica(id, plsim.EngineService, srr.Address(), sharedDataCentre, false, 1, time.Now().UnixMilli())
		sok.shared = append(sok.shared, srr)
	}
	return nil
}

// runAccount sends calls of an account to the shared service, each through the next front, until ctx ends.
func (sok *Soak) runAccount(ctx context.Context, account string, num int, pause time.Duration) {
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	for count := 0; ctx.Err() == nil; count++ {
		frt := (num + count) % len(sok.fronts)
		cal := call{
			id: fmt.Sprintf("%s%d-%d", account, num, count), path: plsim.SharedPath, account: account, front: frt,
			run: sok.fronts[frt].currentRun(), sent: time.Now(),
		}
		lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		cal.outcome = plsim.CallShared(lim, cli, sok.fronts[frt].address, account, cal.id, callTimeout)
		cancel()
		sok.recordEnd(&cal)
		time.Sleep(pause)
	}
}

// verifyFlood checks that the account within its share was served beside the one that floods, which was not starved
// itself. The caller holds mu.
func (chk *checker) verifyFlood() {
	sent, refused := make(map[string]int), make(map[string]int)
	for idx := range chk.calls {
		cal := &chk.calls[idx]
		if cal.account == "" || cal.duringPlannedStop || !chk.faultFree(cal.sent, cal.ended) {
			continue
		}
		sent[cal.account]++
		if cal.outcome.NotExecuted() {
			refused[cal.account]++
		}
	}
	if sent[plsim.AccountModest] < minModestCalls || sent[plsim.AccountFlood] == 0 {
		return
	}
	chk.recordCheck(invariantFlood, refused[plsim.AccountModest]*100 <= sent[plsim.AccountModest]*maxModestRefusedPct &&
		refused[plsim.AccountFlood] < sent[plsim.AccountFlood], "calls sent %v, refused %v", sent, refused)
	chk.floodText = fmt.Sprintf("accounts of the shared service: calls sent %v, refused %v", sent, refused)
}
