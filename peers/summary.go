package peers

import (
	"net"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

const (
	// summaryInterval is the time between two summaries of a cell's load for the processes of other cells.
	summaryInterval = time.Second
	// maxSummariesPerMessage keeps a datagram small enough for one packet.
	maxSummariesPerMessage = 40
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
	for len(list) > 0 {
		num := min(len(list), maxSummariesPerMessage)
		msg := exc.withSender(exc.greeting(nil))
		msg.Live = live
		for idx := range list[:num] {
			msg.Summaries = append(msg.Summaries, toReplicaSummary(&list[idx]))
		}
		exc.send(to, &msg)
		list = list[num:]
	}
}

// applySummaries records the load of another cell and the number of processes there.
func (exc *Exchange) applySummaries(msg *message) {
	if len(msg.Summaries) == 0 {
		return
	}
	exc.mu.Lock()
	exc.cellSizes[msg.DataCentre] = cellSize{live: msg.Live, receivedAt: exc.opts.Clock.Now()}
	exc.mu.Unlock()
	list := make([]fleet.Summary, 0, len(msg.Summaries))
	for idx := range msg.Summaries {
		list = append(list, msg.Summaries[idx].toSummary())
	}
	exc.opts.Fleet.ApplySummaries(list)
}
