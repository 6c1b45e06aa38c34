package relay

import (
	"errors"
	"slices"
	"sync"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// faultySet holds the IDs of replicas that have failed attempts at a call, two of which may be in progress. It is safe
// for concurrent use.
type faultySet struct {
	mu  sync.Mutex
	ids []string
}

func (fts *faultySet) add(id string) {
	fts.mu.Lock()
	defer fts.mu.Unlock()
	fts.ids = append(fts.ids, id)
}

func (fts *faultySet) list() []string {
	fts.mu.Lock()
	defer fts.mu.Unlock()
	return slices.Clone(fts.ids)
}

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
	hdl.faultyHelpers.add(reg.ID)
	hdl.opts.Metrics.CountEvent("helper-failed")
	hdl.opts.Log.Info("relay: helper replica failed an attempt", "call", hdl.cal.ID, "replica", reg.ID,
		"reason", reason)
	rep.RecordFailure()
	log := hdl.opts.Log
	hdl.opts.Pool.CheckAlive(reg.ID, reg.Address, func(err error) {
		log.Info("relay: helper replica checked", "replica", reg.ID, "ended", err != nil)
		if err != nil {
			rep.RecordUnreachable()
		}
	})
}
