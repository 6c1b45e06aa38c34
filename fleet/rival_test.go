package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// TestOddNumbersDoNotHideAReplica guards against a record with a huge sequence number or start under the ID of a live
// replica, after which all that the replica itself writes counts as older.
func TestOddNumbersDoNotHideAReplica(t *testing.T) {
	odd := registration("i-1", 1, 1<<53)
	odd.Address = "10.0.0.7:70"
	future := registration("i-1", 1<<53, 1)
	future.Address = odd.Address
	for name, reg := range map[string]fleet.Registration{"sequence": odd, "start": future} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			flt, man, _ := newFleet()
			flt.UpdateRegistration(registration("i-1", 1, 4))
			flt.UpdateRegistration(reg)
			for sequence := int64(5); sequence < 10; sequence++ {
				man.Advance(time.Second)
				flt.UpdateRegistration(registration("i-1", 1, sequence))
			}
			iis.Equal(flt.ReplicaSet("s").Views()[0].Address, "10.0.0.1:80")
			drains := registration("i-1", 1, 10)
			drains.Draining = true
			flt.UpdateRegistration(drains)
			iis.Equal(usableReplicas(flt), 0)
		})
	}
}

// TestDrainOfAHiddenReplicaCounts guards against calls to a replica that drains, because a record of another writer has
// a higher sequence number.
func TestDrainOfAHiddenReplicaCounts(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1<<53))
	drains := registration("i-1", 1, 10)
	drains.Draining = true
	flt.UpdateRegistration(drains)
	iis.Equal(usableReplicas(flt), 0)
}

// TestLateRegistrationsDoNotReplace guards against an earlier incarnation that comes back because its last records are
// delivered late, several at once or with some time between them, while the new one is alive.
func TestLateRegistrationsDoNotReplace(t *testing.T) {
	iis := is.New(t)
	flt, man, removed := newFleet()
	renew := func(sequence int64) { flt.UpdateRegistration(registration("i-1", 2, sequence)) }
	renew(1)
	for sequence := int64(5); sequence < 20; sequence++ {
		flt.UpdateRegistration(registration("i-1", 1, sequence))
	}
	for sequence := int64(20); sequence < 30; sequence++ {
		flt.UpdateRegistration(registration("i-1", 1, sequence))
		man.Advance(time.Second)
		renew(sequence)
	}
	iis.Equal(len(*removed), 0)
}
