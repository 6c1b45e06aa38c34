package peers

import (
	"bytes"
	"testing"
	"time"
)

// FuzzDecode looks for datagrams that make the process panic.
func FuzzDecode(f *testing.F) {
	raw, err := encode(&message{
		Name: "f", RunID: 3, Tasks: []taskUpdate{{Replica: 1, ID: 2}}, Progress: []progressUpdate{{Replica: 1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(append([]byte{0xa1, 0x04}, bytes.Repeat([]byte{0x81}, 1000)...))                      // deeply nested tasks
	f.Add([]byte{0xa1, 0x04, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})             // 2^63-1 tasks
	f.Add([]byte{0xa1, 0x0a, 0x85, 0x60, 0x20, 0x1b, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0x20}) // digest to the end
	f.Fuzz(func(_ *testing.T, raw []byte) {
		msg, err := decode(raw)
		if err != nil {
			return
		}
		for idx := range msg.Tasks {
			_ = msg.Tasks[idx].toRemoteTask(time.Time{})
		}
		for idx := range msg.Summaries {
			_ = msg.Summaries[idx].toSummary()
		}
		if msg.Digest != nil {
			_ = msg.Digest.toDigest(msg.StoreEra)
		}
		for idx := range msg.Progress {
			_ = msg.Progress[idx].toRemoteTask()
		}
	})
}
