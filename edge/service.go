package edge

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/url"
	pathlib "path"
	"slices"
	"strings"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// parseServiceCall parses and validates a call to a plain service.
func (srv *Server) parseServiceCall(rw http.ResponseWriter, req *http.Request) (Call, *refusal) {
	cal, ref := srv.parseCommon(req)
	if ref != nil {
		return cal, ref
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), servicePrefix), "/")
	cal.Kind = proto.UpstreamPlain
	cal.Serves = name
	cal.Path = "/" + rest
	cal.Idempotent = srv.retryable(name, req.Method, cal.Path)
	if req.URL.RawQuery != "" {
		cal.Path += "?" + req.URL.RawQuery
	}
	cal.Header = forwardedHeaders(req.Header)
	if !srv.MayExist(cal.Kind, cal.Serves) {
		return cal, newRefusal(http.StatusNotFound, CodeUnknownService, "no such service")
	}
	if cal.Body, ref = srv.readBody(rw, req, cal.Deadline); ref != nil {
		return cal, ref
	}
	if !cal.Idempotent && cal.IdempotencyKey == "" {
		buf := make([]byte, randomKeyBytes)
		_, _ = rand.Read(buf) // crypto/rand.Read never fails on supported platforms.
		cal.IdempotencyKey = hex.EncodeToString(buf)
	}
	return cal, nil
}

// retryable tells whether a call is idempotent and may therefore run more than once. The path is still escaped.
func (srv *Server) retryable(service, method, path string) bool {
	if slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method) {
		return true
	}
	// A service may resolve dot segments and encoded slashes, and then run another call than the one that a rule
	// covers. Paths that change in this way are not retryable.
	unescaped, err := url.PathUnescape(path)
	if err != nil || (pathlib.Clean(unescaped) != unescaped && pathlib.Clean(unescaped)+"/" != unescaped) {
		return false
	}
	if srv.Retryable(service, method+" "+unescaped) {
		return true
	}
	for _, rule := range config.EntryRetryable.Of(srv.Settings) {
		if rule.Matches(service, method, path) {
			return true
		}
	}
	return false
}

// forwardedHeaders returns the headers that are forwarded to a service. Several values of a header are joined by
// commas.
func forwardedHeaders(hdr http.Header) map[string]string {
	out := make(map[string]string, len(hdr))
	for name, vals := range hdr {
		if !slices.Contains(unforwardedHeaders, name) {
			out[name] = strings.Join(vals, ", ")
		}
	}
	return out
}
