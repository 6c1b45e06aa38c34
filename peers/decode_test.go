package peers

import (
	"testing"
	"time"
)

// FuzzDecode looks for datagrams that stop the process.
func FuzzDecode(f *testing.F) {
	raw, err := encode(&message{Name: "f", Run: 3, Items: []item{{Replica: 1, ID: 2}}, Moves: []move{{Replica: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		msg, err := decode(raw)
		if err != nil {
			return
		}
		for idx := range msg.Items {
			_ = msg.Items[idx].work(time.Time{})
		}
		for idx := range msg.Moves {
			_ = msg.Moves[idx].work()
		}
	})
}
