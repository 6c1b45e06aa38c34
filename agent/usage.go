package agent

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// tailBytes is the end of a response that is kept to read its usage and the mark of its end.
const tailBytes = 1024

var (
	usageKey = []byte(`"usage":{`)
	endMark  = []byte("data: [DONE]")
)

// tail keeps the last bytes of a response.
type tail struct{ buf []byte }

func (tai *tail) add(part []byte) {
	tai.buf = append(tai.buf, part...)
	if len(tai.buf) > tailBytes {
		tai.buf = append(tai.buf[:0], tai.buf[len(tai.buf)-tailBytes:]...)
	}
}

// usage returns the token counts in the response, or zeros. Inside generated text the quotes of the key are escaped, so
// text cannot pass for it.
func (tai *tail) usage() (prompt, output int) {
	idx := bytes.LastIndex(tai.buf, usageKey)
	if idx < 0 {
		return 0, 0
	}
	obj := gjson.ParseBytes(tai.buf[idx+len(usageKey)-1:])
	return int(obj.Get("prompt_tokens").Int()), int(obj.Get("completion_tokens").Int())
}

// ended tells whether an event stream has come to its end.
func (tai *tail) ended() bool { return bytes.Contains(tai.buf, endMark) }
