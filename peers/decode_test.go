package peers

import (
	"testing"
	"time"
)

// FuzzDecode looks for datagrams that make the process panic.
func FuzzDecode(f *testing.F) {
	raw, err := encode(&message{
		Name: "f", RunID: 3, Tasks: []taskUpdate{{Replica: 1, ID: 2}}, Progress: []progressUpdate{{Replica: 1}},
		Leaving: []leavingNotice{{Replica: 1, StartedAtMs: 2, AgeMs: 3}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		msg, err := decode(raw)
		if err != nil {
			return
		}
		for idx := range msg.Tasks {
			_ = msg.Tasks[idx].toRemoteTask(time.Time{})
		}
		for idx := range msg.Progress {
			_ = msg.Progress[idx].toRemoteTask()
		}
	})
}
