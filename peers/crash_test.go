package peers

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cause"
)

// maxPacketBytes is what one packet carries over any path of a data centre: the smallest MTU of IPv6, less its header
// and that of UDP.
const maxPacketBytes = 1280 - 40 - 8

// reportsWithParts returns as many reports as a full replica breaks calls, with the given number of parts each.
func reportsWithParts(num int) (reports []cause.Report) {
	for call := range uint64(48) {
		rpt := cause.Report{Replica: math.MaxUint64, Advanced: call%2 == 0}
		rpt.Call.Fingerprint = math.MaxUint64 - call
		for part := range uint64(num) {
			rpt.Call.Parts = append(rpt.Call.Parts, math.MaxUint64-call<<16-part)
		}
		reports = append(reports, rpt)
	}
	return reports
}

// TestReportsFitIntoPackets guards against reports that are lost because a datagram with the parts of long prompts is
// larger than a packet.
func TestReportsFitIntoPackets(t *testing.T) {
	for _, num := range []int{0, 1, 2, 7, 16, 100, 107, 108, 2048} {
		iis := is.New(t)
		parts, calls := make(map[uint64]bool), make(map[uint64]bool)
		for _, chunk := range splitReports(reportsWithParts(num)) {
			msg := message{
				RunID: math.MaxUint32, Name: strings.Repeat("n", 40), DataCentre: strings.Repeat("d", 20),
				ConfigVersion: math.MaxInt64, Live: math.MaxUint16, StoreEra: math.MaxInt64,
			}
			for _, rpt := range chunk {
				calls[rpt.Call.Fingerprint] = true
				for _, part := range rpt.Call.Parts {
					parts[part] = true
				}
				msg.Crashes = append(msg.Crashes, crashReport{
					Replica: rpt.Replica, Call: rpt.Call.Fingerprint, Parts: rpt.Call.Parts, AgeMs: math.MaxUint32,
				})
			}
			raw, err := encode(&msg)
			iis.NoErr(err)
			iis.True(len(raw) <= maxPacketBytes)
		}
		iis.Equal(len(calls), 48)
		iis.Equal(len(parts), 48*num)
	}
}
