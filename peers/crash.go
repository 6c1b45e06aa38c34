package peers

import (
	"math"
	"net"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cause"
)

const (
	// crashBatchDelay is the time during which crashes are collected, since a replica breaks many connections at once.
	crashBatchDelay = 3 * time.Millisecond
	// crashReportSends is how often each crash is sent, since datagrams may be lost: at once and with the next full
	// updates.
	crashReportSends     = 3
	maxAnswersPerMessage = 80
)

// Sizes of reports in a datagram, in hashes of at most nine bytes. A datagram fits into one packet.
const (
	maxHashesPerMessage = 110
	// hashesPerReport is the size of a report without parts.
	hashesPerReport = 3
	// minPartsPerReport is the number of parts for which a report is begun in what is left of a datagram.
	minPartsPerReport = 8
)

// crashReport is a cause.Report, with some of the parts if not all fit into a datagram.
type crashReport struct {
	_       struct{} `cbor:",toarray"`
	Replica uint64
	Call    uint64
	Parts   []uint64
	AgeMs   uint32
}

// answer is a cause.Answer.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Feature uint64
	AgeMs   uint32
}

// unsentCrash is a crash that is still to be sent.
type unsentCrash struct {
	report    cause.Report
	sendsLeft int
}

// SendCrash sends a crash that this process has observed to all peers, soon and again with the next full updates.
func (exc *Exchange) SendCrash(rpt cause.Report) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.crashes = append(exc.crashes, unsentCrash{report: rpt, sendsLeft: crashReportSends})
	if !exc.crashesScheduled {
		exc.crashesScheduled = true
		exc.opts.Clock.After(crashBatchDelay, exc.sendCrashes)
	}
}

// sendCrashes sends the crashes that have not been sent often enough to all peers.
func (exc *Exchange) sendCrashes() {
	exc.mu.Lock()
	exc.crashesScheduled = false
	reports := make([]cause.Report, 0, len(exc.crashes))
	for idx := range exc.crashes {
		reports = append(reports, exc.crashes[idx].report)
		exc.crashes[idx].sendsLeft--
	}
	exc.crashes = slices.DeleteFunc(exc.crashes, func(crs unsentCrash) bool { return crs.sendsLeft <= 0 })
	to := exc.allPeers()
	exc.mu.Unlock()
	exc.sendReports(to, reports)
}

// allPeers returns the addresses of all peers. The caller holds the lock.
func (exc *Exchange) allPeers() []*net.UDPAddr {
	var to []*net.UDPAddr
	for _, per := range exc.peers {
		to = append(to, per.addr)
	}
	return to
}

// sendReports sends crashes, in as many datagrams as needed.
func (exc *Exchange) sendReports(peers []*net.UDPAddr, reports []cause.Report) {
	now := exc.opts.Clock.Now()
	for _, chunk := range splitReports(reports) {
		msg := exc.withSender(exc.greeting())
		for _, rpt := range chunk {
			to := &msg.Crashes
			if rpt.Advanced {
				to = &msg.LateCrashes
			}
			*to = append(*to, crashReport{
				Replica: rpt.Replica, Call: rpt.Call.Fingerprint, Parts: rpt.Call.Parts,
				AgeMs: ageMs(now, rpt.At),
			})
		}
		exc.send(peers, &msg)
	}
}

// splitReports distributes reports over datagrams. One whose parts do not fit becomes several, each with some of them.
func splitReports(reports []cause.Report) (chunks [][]cause.Report) {
	var chunk []cause.Report
	left := maxHashesPerMessage
	for _, rpt := range reports {
		parts := rpt.Call.Parts
		for first := true; first || len(parts) > 0; first = false {
			if left < hashesPerReport+min(len(parts), minPartsPerReport) {
				chunks = append(chunks, chunk)
				chunk, left = nil, maxHashesPerMessage
			}
			num := min(len(parts), left-hashesPerReport)
			rpt.Call.Parts, parts = parts[:num], parts[num:]
			chunk = append(chunk, rpt)
			left -= hashesPerReport + num
		}
	}
	if len(chunk) > 0 {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// ageMs returns the time since an event in milliseconds.
func ageMs(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

// sendKnownCrashes sends the crashes because of which calls are blocked to a peer that may know none.
func (exc *Exchange) sendKnownCrashes(addr *net.UDPAddr) {
	if exc.opts.KnownCrashes != nil {
		exc.sendReports([]*net.UDPAddr{addr}, exc.opts.KnownCrashes())
	}
}

// SendAnswers sends all peers that suspected calls have been answered.
func (exc *Exchange) SendAnswers(list []cause.Answer) {
	exc.mu.Lock()
	peers := exc.allPeers()
	exc.mu.Unlock()
	now := exc.opts.Clock.Now()
	for chunk := range slices.Chunk(list, maxAnswersPerMessage) {
		msg := exc.withSender(exc.greeting())
		for _, ans := range chunk {
			to := &msg.Progressing
			if ans.Complete {
				to = &msg.Answers
			}
			*to = append(*to, answer{Feature: ans.Feature, AgeMs: ageMs(now, ans.At)})
		}
		exc.send(peers, &msg)
	}
}

// applyCrashes hands the crashes and answers that a peer has sent to the function that records them.
func (exc *Exchange) applyCrashes(msg *message) {
	if exc.opts.OnCrash != nil {
		exc.applyReports(msg.Crashes, false)
		exc.applyReports(msg.LateCrashes, true)
	}
	if exc.opts.OnAnswers != nil && len(msg.Answers)+len(msg.Progressing) > 0 {
		exc.opts.OnAnswers(append(exc.answersOf(msg.Answers, true), exc.answersOf(msg.Progressing, false)...))
	}
}

// applyReports hands crashes to the function that records them.
func (exc *Exchange) applyReports(reports []crashReport, advanced bool) {
	for _, rpt := range reports {
		exc.opts.OnCrash(cause.Report{
			Replica: rpt.Replica, At: exc.timeAgo(rpt.AgeMs), Advanced: advanced,
			Call: cause.Call{Fingerprint: rpt.Call, Parts: rpt.Parts},
		})
	}
}

// answersOf returns the answers that a peer has sent.
func (exc *Exchange) answersOf(list []answer, complete bool) []cause.Answer {
	answers := make([]cause.Answer, 0, len(list))
	for _, ans := range list {
		answers = append(answers, cause.Answer{Feature: ans.Feature, At: exc.timeAgo(ans.AgeMs), Complete: complete})
	}
	return answers
}

// timeAgo returns the time of an event from its age in milliseconds.
func (exc *Exchange) timeAgo(ageMs uint32) time.Time {
	return exc.opts.Clock.Now().Add(-time.Duration(ageMs) * time.Millisecond)
}
