package relay

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/pool"
)

// faultyCheckTimeout is the time within which a replica that is said to be at fault must accept a connection. One that
// has ended refuses it within a round trip.
const faultyCheckTimeout = 300 * time.Millisecond

// replicaError is the failure of an operation at one of several replicas.
type replicaError struct {
	replica string // ID
	err     error
}

// Error implements error.
func (rer *replicaError) Error() string { return rer.replica + ": " + rer.err.Error() }

// Unwrap returns the failure.
func (rer *replicaError) Unwrap() error { return rer.err }

// failedReplicas returns the IDs of the replicas whose failures an error joins.
func failedReplicas(err error) []string {
	var list []string
	if joined, ok := err.(interface{ Unwrap() []error }); ok { //nolint:errorlint // It walks the tree itself.
		for _, one := range joined.Unwrap() {
			list = append(list, failedReplicas(one)...)
		}
		return list
	}
	if rer, ok := err.(*replicaError); ok { //nolint:errorlint // It walks the tree itself.
		return []string{rer.replica}
	}
	if inner := errors.Unwrap(err); inner != nil {
		return failedReplicas(inner)
	}
	return nil
}

// recordFaultyReplica records the replica because of which the primary replica has refused the call, if it names one.
// Without this, a prompt would be split over a helper that has ended again and again.
func (att *attempt) recordFaultyReplica() {
	for _, hlp := range att.placement.Helpers {
		if hlp.View.Address == att.reply.FaultyReplica {
			att.hdl.excludeHelper(hlp.View.Replica, reasonNotRun)
		}
	}
}

// excludeFailedHelpers records the helper replicas that have failed to reserve memory.
func (att *attempt) excludeFailedHelpers(err error) {
	failed := failedReplicas(err)
	for _, hlp := range att.placement.Helpers {
		for _, id := range failed {
			if hlp.View.ID == id {
				att.hdl.excludeHelper(hlp.View.Replica, reasonNoMemory)
			}
		}
	}
}

// excludeHelper keeps a helper replica that has failed an attempt out of the further attempts at the call.
func (hdl *callHandler) excludeHelper(rep *fleet.Replica, reason string) {
	reg := rep.Registration()
	hdl.faultyHelpers = append(hdl.faultyHelpers, reg.ID)
	hdl.opts.Metrics.CountEvent("helper-failed")
	hdl.opts.Log.Info("relay: helper replica failed an attempt", "call", hdl.cal.ID, "replica", reg.ID,
		"reason", reason)
	rep.RecordFailure()
	go hdl.relay.checkFaulty(context.WithoutCancel(hdl.ctx), rep)
}

// checkFaulty finds out whether a replica that is said to be at fault has ended, unless that was done lately.
func (rly *Relay) checkFaulty(ctx context.Context, rep *fleet.Replica) {
	if !rep.ShouldCheck() {
		return
	}
	ctx, cancel := rly.opts.Clock.WithTimeout(ctx, faultyCheckTimeout)
	defer cancel()
	reg := rep.Registration()
	err := rly.opts.Pool.Check(ctx, reg.ID, reg.Address)
	rly.opts.Log.Info("relay: replica at fault checked", "replica", reg.ID,
		"ended", errors.Is(err, pool.ErrReplicaEnded), "answers", err == nil)
	if err != nil {
		rep.RecordUnreachable()
	}
}
