package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times of KV memory reservations. A reservation expires unless it is renewed, so that it also ends if this process is
// killed or its release is lost.
const (
	reservationTTL    = 2200 * time.Millisecond
	renewInterval     = 700 * time.Millisecond
	replicaAPITimeout = 400 * time.Millisecond
	// useCheckShare is the share of Options.ReservationUseTimeout after which a reservation is given up if it is not
	// used. The rest of the time is left for its release, which may have to be sent again.
	useCheckShare = 0.6
)

// Reservation is KV memory reserved at a replica.
type Reservation struct {
	Replica      string // ID of the replica
	Address      string
	ID           string
	Tokens       int
	ExpiresAfter time.Duration // unless it is renewed
}

// ReplicaAPI holds the functions by which a relay reserves KV memory at replicas and queries their state.
type ReplicaAPI struct {
	// Reserve makes a reservation or renews it.
	Reserve func(ctx context.Context, rsv Reservation) error
	Release func(ctx context.Context, rsv Reservation) error
	// InUse tells whether a call uses the reserved memory.
	InUse func(ctx context.Context, rsv Reservation) (bool, error)
	// Report asks the replica at an address for its report.
	Report func(ctx context.Context, address string) (Report, error)
}

// Reserver reserves KV memory at helper replicas for prompts that no replica can hold alone. It is safe for concurrent
// use.
type Reserver struct {
	clock    *timer.Service
	log      logr.Logger
	api      ReplicaAPI
	idPrefix string // makes reservation IDs unique across processes and restarts
	lastID   atomic.Uint64
}

// NewReserver returns a Reserver that uses the given API of replicas.
func NewReserver(clk *timer.Service, log logr.Logger, api ReplicaAPI) *Reserver {
	return &Reserver{clock: clk, log: log, api: api, idPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// attemptMemory is the KV memory reserved for an attempt at its helper replicas.
type attemptMemory struct {
	reserver     *Reserver
	helpers      []call.Helper // all helper replicas, also those without a reservation
	reservations []Reservation
	renewal      *timer.Subscription // nil if there are no reservations
}

// reserve reserves the KV memory that a placement needs at helper replicas and keeps the reservations renewed. If one
// of them fails, all are released.
func (rsr *Reserver) reserve(ctx context.Context, plc *place.Placement) (*attemptMemory, error) {
	mem := &attemptMemory{reserver: rsr}
	for _, part := range plc.Helpers {
		hlp := call.Helper{Address: part.View.Address}
		if part.ReserveTokens > 0 {
			hlp.ReservationID = rsr.idPrefix + strconv.FormatUint(rsr.lastID.Add(1), 36)
			mem.reservations = append(mem.reservations, Reservation{
				Replica: part.View.ID, Address: part.View.Address,
				ID: hlp.ReservationID, Tokens: part.ReserveTokens, ExpiresAfter: reservationTTL,
			})
		}
		mem.helpers = append(mem.helpers, hlp)
	}
	if len(mem.reservations) == 0 {
		return mem, nil
	}
	ctx = context.WithoutCancel(ctx)
	if err := rsr.forEach(ctx, mem.reservations, rsr.api.Reserve); err != nil {
		rsr.log.Info("relay: memory cannot be reserved", "error", err.Error(), "reservations", len(mem.reservations))
		go rsr.releaseAll(ctx, mem.reservations)
		return nil, fmt.Errorf("relay: reserve memory: %w", err)
	}
	mem.renewal = rsr.clock.Every(renewInterval, func() {
		if err := rsr.forEach(ctx, mem.reservations, rsr.api.Reserve); err != nil {
			rsr.log.Info("relay: reservation not renewed", "error", err.Error())
		}
	})
	return mem, nil
}

// release ends the renewal and releases the reservations in the background.
func (mem *attemptMemory) release(ctx context.Context) {
	if len(mem.reservations) == 0 {
		return
	}
	mem.renewal.Stop()
	go mem.reserver.releaseAll(context.WithoutCancel(ctx), mem.reservations)
}

var errUnused = errors.New("relay: reserved memory is not used")

// watchUse calls onUnused if a replica states after useCheckShare of the limit that the call does not use the memory
// reserved there. One that does not answer is asked again until the call has begun.
func (mem *attemptMemory) watchUse(
	ctx context.Context, limit time.Duration, hasBegun func() bool, onUnused func(),
) *timer.Subscription {
	if len(mem.reservations) == 0 {
		return &timer.Subscription{}
	}
	rsr := mem.reserver
	return rsr.clock.After(time.Duration(float64(limit)*useCheckShare), func() {
		for !hasBegun() {
			err := rsr.forEach(ctx, mem.reservations, rsr.checkUse)
			if err == nil || ctx.Err() != nil {
				return
			}
			if errors.Is(err, errUnused) {
				rsr.log.Info("relay: reservation given up", "error", err.Error())
				onUnused()
				return
			}
			rsr.log.Info("relay: use of a reservation not known", "error", err.Error())
			if rsr.clock.Sleep(ctx, renewInterval) != nil {
				return
			}
		}
	})
}

// checkUse returns errUnused if the call does not use the reserved memory, and another error if the replica does not
// answer.
func (rsr *Reserver) checkUse(ctx context.Context, rsv Reservation) error {
	used, err := rsr.api.InUse(ctx, rsv)
	if err == nil && !used {
		return errUnused
	}
	return err
}

// forEach calls do for all reservations concurrently and returns the joined errors.
func (rsr *Reserver) forEach(
	ctx context.Context, list []Reservation, do func(ctx context.Context, rsv Reservation) error,
) error {
	errs := make(chan error, len(list))
	for _, rsv := range list {
		go func() {
			callCtx, cancel := rsr.clock.WithTimeout(ctx, replicaAPITimeout)
			defer cancel()
			err := do(callCtx, rsv)
			if err != nil {
				err = &replicaError{replica: rsv.Replica, err: err}
			}
			errs <- err
		}()
	}
	var joined error
	for range list {
		joined = errors.Join(joined, <-errs)
	}
	return joined
}

// releaseAll releases reservations. It sends each release again until it is confirmed or the reservation has expired.
func (rsr *Reserver) releaseAll(ctx context.Context, list []Reservation) {
	for end := rsr.clock.Now().Add(reservationTTL); rsr.clock.Now().Before(end); {
		var unconfirmed []Reservation
		for _, rsv := range list {
			callCtx, cancel := rsr.clock.WithTimeout(ctx, replicaAPITimeout)
			if err := rsr.api.Release(callCtx, rsv); err != nil {
				rsr.log.Info("relay: release not confirmed, trying again", "replica", rsv.Replica, "error", err.Error())
				unconfirmed = append(unconfirmed, rsv)
			}
			cancel()
		}
		if list = unconfirmed; len(list) == 0 {
			return
		}
		_ = rsr.clock.Sleep(ctx, renewInterval/2) // The context is never cancelled.
	}
}
