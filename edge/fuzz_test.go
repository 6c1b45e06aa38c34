package edge

import (
	"testing"

	"github.com/tidwall/gjson"
)

// Guards against a body that panics the parser, or that is accepted without a model, a prompt or a positive token
// limit. The cost of the request is computed from prompt and limit.
func FuzzReadFields(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"max_completion_tokens":1e3}`))
	f.Add([]byte(`{"model":1,"prompt":null,"max_tokens":1e400}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if !gjson.ValidBytes(body) {
			return
		}
		fld, ref := readFields(body)
		if ref == nil && (fld.maxTokens <= 0 || fld.model == "" || fld.prompt == "") {
			t.Errorf("accepted %q as %+v", body, fld)
		}
	})
}
