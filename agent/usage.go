package agent

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// maxTailBytes is the number of bytes kept of the end of a response, from which its usage object and its last event are
// read.
const maxTailBytes = 1024

var (
	usageKey  = []byte(`"usage":{`)
	doneEvent = []byte("data: [DONE]")
)

// responseTail holds the last maxTailBytes bytes of a response.
type responseTail struct{ buf []byte }

func (tai *responseTail) add(part []byte) {
	tai.buf = append(tai.buf, part...)
	if len(tai.buf) > maxTailBytes {
		tai.buf = append(tai.buf[:0], tai.buf[len(tai.buf)-maxTailBytes:]...)
	}
}

// usage returns the token counts in the response, or zeros. Generated text cannot be mistaken for the usage object,
// since the quotes of the key are escaped there.
func (tai *responseTail) usage() (prompt, output int) {
	idx := bytes.LastIndex(tai.buf, usageKey)
	if idx < 0 {
		return 0, 0
	}
	obj := gjson.ParseBytes(tai.buf[idx+len(usageKey)-1:])
	return int(obj.Get("prompt_tokens").Int()), int(obj.Get("completion_tokens").Int())
}

// ended reports whether an event stream is complete.
func (tai *responseTail) ended() bool { return bytes.Contains(tai.buf, doneEvent) }
