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

// Times of reservations. A reservation that nobody renews ends by itself, also if this process is killed or its release
// is lost.
const (
	holdTime     = 2200 * time.Millisecond
	renewTime    = 700 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
	// holdShare is the share of the hold limit after which reservations that are not used are given up. The rest is
	// left for the release, which may be lost.
	holdShare = 0.6
)

// Reservation is KV memory reserved at a replica.
type Reservation struct {
	Replica string // ID of the replica
	Address string
	ID      string
	Tokens  int
	Hold    time.Duration // after which it ends unless it is made again
}

// ReplicaAPI holds the calls to replicas that a relay makes for itself: they reserve memory, release it, and ask for
// reports.
type ReplicaAPI struct {
	Reserve func(ctx context.Context, rsv Reservation) error
	Release func(ctx context.Context, rsv Reservation) error
	// InUse tells whether a call uses the memory.
	InUse func(ctx context.Context, rsv Reservation) (bool, error)
	// LatencyRatio asks the replica at an address for its ratio of observed to expected time.
	LatencyRatio func(ctx context.Context, address string) (float64, error)
}

// Reserver reserves memory at replicas for prompts that no replica can hold alone. It is safe for concurrent use.
type Reserver struct {
	clock  *timer.Service
	log    logr.Logger
	orders ReplicaAPI
	prefix string // distinguishes the tickets of this process from those of others and of earlier runs
	count  atomic.Uint64
}

// NewReserver returns a Reserver that uses the given calls.
func NewReserver(clk *timer.Service, log logr.Logger, ord ReplicaAPI) *Reserver {
	return &Reserver{clock: clk, log: log, orders: ord, prefix: strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// holding is the memory that is reserved for an attempt.
type holding struct {
	mem     *Reserver
	helpers []call.Helper
	held    []Reservation
	renewal *timer.Subscription
}

// reserve sets aside the memory that a plan needs. If not all of it can be had, none is kept.
func (mem *Reserver) reserve(ctx context.Context, pln *place.Placement) (*holding, error) {
	hld := &holding{mem: mem}
	for _, hlp := range pln.Helpers {
		one := call.Helper{Address: hlp.View.Address}
		if hlp.ReserveTokens > 0 {
			one.ReservationID = mem.prefix + strconv.FormatUint(mem.count.Add(1), 36)
			hld.held = append(hld.held, Reservation{
				Replica: hlp.View.ID, Address: hlp.View.Address,
				ID: one.ReservationID, Tokens: hlp.ReserveTokens, Hold: holdTime,
			})
		}
		hld.helpers = append(hld.helpers, one)
	}
	if len(hld.held) == 0 {
		return hld, nil
	}
	ctx = context.WithoutCancel(ctx)
	if err := mem.each(ctx, hld.held, mem.orders.Reserve); err != nil {
		mem.log.Info("relay: memory cannot be reserved", "error", err.Error(), "reservations", len(hld.held))
		go mem.free(ctx, hld.held)
		return nil, fmt.Errorf("relay: reserve memory: %w", err)
	}
	hld.renewal = mem.clock.Every(renewTime, func() {
		if err := mem.each(ctx, hld.held, mem.orders.Reserve); err != nil {
			mem.log.Info("relay: reservation not renewed", "error", err.Error())
		}
	})
	return hld, nil
}

// release frees the memory.
func (hld *holding) release(ctx context.Context) {
	if len(hld.held) == 0 {
		return
	}
	hld.renewal.Stop()
	go hld.mem.free(context.WithoutCancel(ctx), hld.held)
}

// watch calls unused if a call has not begun to use all of the memory within a share of the limit.
func (hld *holding) watch(ctx context.Context, limit time.Duration, unused func()) *timer.Subscription {
	if len(hld.held) == 0 {
		return &timer.Subscription{}
	}
	return hld.mem.clock.After(time.Duration(float64(limit)*holdShare), func() {
		err := hld.mem.each(ctx, hld.held, func(ctx context.Context, rsv Reservation) error {
			used, err := hld.mem.orders.InUse(ctx, rsv)
			if err == nil && !used {
				err = errors.New("relay: reserved memory is not used")
			}
			return err
		})
		if err != nil && ctx.Err() == nil {
			hld.mem.log.Info("relay: reservation given up", "error", err.Error())
			unused()
		}
	})
}

// each makes a call for all reservations at once.
func (mem *Reserver) each(
	ctx context.Context, held []Reservation, order func(ctx context.Context, rsv Reservation) error,
) error {
	errs := make(chan error, len(held))
	for _, rsv := range held {
		go func() {
			lim, cancel := mem.clock.WithTimeout(ctx, orderTimeout)
			defer cancel()
			errs <- order(lim, rsv)
		}()
	}
	var all error
	for range held {
		all = errors.Join(all, <-errs)
	}
	return all
}

// free releases reservations. A release that is lost is sent again until the reservation has ended by itself.
func (mem *Reserver) free(ctx context.Context, held []Reservation) {
	for end := mem.clock.Now().Add(holdTime); mem.clock.Now().Before(end); {
		var rest []Reservation
		for _, rsv := range held {
			lim, cancel := mem.clock.WithTimeout(ctx, orderTimeout)
			if err := mem.orders.Release(lim, rsv); err != nil {
				mem.log.Info("relay: release not confirmed, trying again", "replica", rsv.Replica, "error", err.Error())
				rest = append(rest, rsv)
			}
			cancel()
		}
		if held = rest; len(held) == 0 {
			return
		}
		_ = mem.clock.Sleep(ctx, renewTime/2) // The context has no end.
	}
}
