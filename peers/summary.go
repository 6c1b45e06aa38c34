package peers

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

const (
	// summaryInterval is the time between two summaries of a cell's load for the processes of other cells.
	summaryInterval = time.Second
	// maxSummaries is the number of replicas in a message, which is small enough for one packet. In a larger cell, each
	// message holds others, so that the bytes that a process receives do not grow with the number of replicas.
	maxSummaries = 40
)

// cellSize is the number of live processes in another data centre, as one of them has reported it.
type cellSize struct {
	live       int
	receivedAt time.Time
}

// sendSummaries sends the load of this process's cell to the processes of other cells. Of the processes in a cell, only
// the live one with the lowest address does so.
func (exc *Exchange) sendSummaries() {
	if !exc.isCell.Load() {
		return
	}
	exc.mu.Lock()
	live := 1
	var to []*net.UDPAddr
	for addr, per := range exc.peers {
		switch {
		case per.dataCentre == "":
		case per.dataCentre != exc.opts.DataCentre:
			to = append(to, per.addr)
		case exc.isLive(per) && addr < exc.opts.Address:
			exc.mu.Unlock()
			return // That process does it.
		case exc.isLive(per):
			live++
		}
	}
	exc.mu.Unlock()
	list := exc.opts.Fleet.Summaries(exc.opts.DataCentre)
	rand.Shuffle(len(list), func(one, two int) { list[one], list[two] = list[two], list[one] })
	msg := exc.withSender(exc.greeting())
	msg.Live = live
	for idx := range list[:min(len(list), maxSummaries)] {
		msg.Summaries = append(msg.Summaries, toReplicaSummary(&list[idx]))
	}
	exc.send(to, &msg)
}

// applySummaries records the load of another cell and the number of processes there.
func (exc *Exchange) applySummaries(msg *message) {
	if len(msg.Summaries) == 0 {
		return
	}
	exc.mu.Lock()
	exc.cellSizes[msg.DataCentre] = cellSize{live: min(max(msg.Live, 0), maxPeers), receivedAt: exc.opts.Clock.Now()}
	exc.mu.Unlock()
	list := make([]fleet.Summary, 0, len(msg.Summaries))
	for idx := range msg.Summaries {
		list = append(list, msg.Summaries[idx].toSummary())
	}
	exc.opts.Fleet.ApplySummaries(list)
}
