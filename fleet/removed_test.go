package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOldRecordDoesNotBringBackAReplica guards against a replica that has left and is in use again, because the store
// was restored from a copy of before, or a record is read late.
func TestOldRecordDoesNotBringBackAReplica(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 5, 3))
	flt.Unregister("i-1")
	flt.UpdateRegistration(registration("i-1", 5, 2))
	flt.UpdateRegistration(registration("i-1", 5, 3))
	flt.UpdateRegistration(registration("i-1", 4, 9)) // of an earlier incarnation
	iis.Equal(usableReplicas(flt), 0)
	flt.UpdateRegistration(registration("i-1", 5, 4)) // was only silent, and writes again
	iis.Equal(usableReplicas(flt), 1)
}

// TestLeavingReplicaStaysLeaving guards against a replica that has begun to drain, was removed, and is in use again
// because it goes on writing until it ends.
func TestLeavingReplicaStaysLeaving(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 5, 3))
	reg := registration("i-1", 5, 4)
	reg.Draining = true
	flt.UpdateRegistration(reg)
	flt.Unregister("i-1")
	flt.UpdateRegistration(registration("i-1", 5, 5))
	iis.Equal(usableReplicas(flt), 0)
	flt.UpdateRegistration(registration("i-1", 6, 1)) // started again under its ID
	iis.Equal(usableReplicas(flt), 1)
}

// TestLateReregistrationIsUsed guards against a live replica that is left out because its registration, lost with a
// restore of the store, was written again unchanged just after the grace period.
func TestLateReregistrationIsUsed(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 5, 3))
	flt.StoreOutageEnded()
	flt.ReplaceRegistrations(nil, nil)
	iis.Equal(usableReplicas(flt), 1)
	man.Advance(2 * time.Second)
	flt.RemoveExpired()
	iis.Equal(usableReplicas(flt), 0)
	flt.UpdateRegistration(registration("i-1", 5, 2))
	iis.Equal(usableReplicas(flt), 0)
	flt.UpdateRegistration(registration("i-1", 5, 3))
	iis.Equal(usableReplicas(flt), 1)
}

// TestGoneReplicasAreForgotten guards against memory that grows with each replica that ever was, and against a replica
// that is refused for ever because its clock was set back.
func TestGoneReplicasAreForgotten(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	const many = 5000
	for num := range many {
		reg := registration(fmt.Sprint("i-", num), 5, 3)
		flt.UpdateRegistration(reg)
		flt.Unregister(reg.ID)
		man.Advance(time.Millisecond)
	}
	flt.UpdateRegistration(registration("i-0", 5, 3)) // beyond what is kept
	iis.Equal(usableReplicas(flt), 1)
	last := fmt.Sprint("i-", many-1)
	flt.UpdateRegistration(registration(last, 4, 3))
	iis.Equal(usableReplicas(flt), 1)
	man.Advance(10 * time.Minute)
	flt.RemoveExpired()
	flt.UpdateRegistration(registration(last, 4, 3))
	iis.Equal(usableReplicas(flt), 2)
}
