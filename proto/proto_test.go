package proto_test

import (
	"fmt"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

func ExampleEncode() {
	raw, _ := proto.Encode(proto.KindCancel, 7, proto.Cancel{Reason: "caller-gone"})
	frm, _ := proto.Decode(raw)
	msg, _ := proto.Parse[proto.Cancel](frm)
	fmt.Println(frm.Kind, frm.Stream, msg.Reason)
	// Output: cancel 7 caller-gone
}

// Guards against a peer of another version being misread instead of refused.
func TestOtherVersionIsRefused(t *testing.T) {
	is := is.New(t)
	raw, err := proto.Marshal(proto.Frame{Version: 9, Kind: proto.KindBeat, Payload: []byte{0xa0}})
	is.NoErr(err)
	_, err = proto.Decode(raw)
	is.True(trace.IsNotImplemented(err))
}

// Guards against a crash or a hang on bytes that are not a frame.
func FuzzDecode(f *testing.F) {
	raw, _ := proto.Encode(proto.KindOpen, 1, proto.Open{Account: "a"})
	f.Add(raw)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frm, err := proto.Decode(data)
		if err == nil {
			_, _ = proto.Parse[proto.Open](frm)
		}
	})
}
