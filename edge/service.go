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

// service parses a call to a plain service.
func (srv *Server) service(rw http.ResponseWriter, req *http.Request) (Call, *refusal) {
	cal, ref := srv.admit(req)
	if ref != nil {
		return cal, ref
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), servicePrefix), "/")
	cal.Kind = proto.UpstreamPlain
	cal.Serves = name
	cal.Path = "/" + rest
	cal.Idempotent = srv.repeatable(name, req.Method, cal.Path)
	if req.URL.RawQuery != "" {
		cal.Path += "?" + req.URL.RawQuery
	}
	cal.Header = requestHeader(req.Header)
	if !srv.Known(cal.Kind, cal.Serves) {
		return cal, badRequest(http.StatusNotFound, CodeUnknownService, "no such service")
	}
	if cal.Body, ref = srv.body(rw, req, cal.Deadline); ref != nil {
		return cal, ref
	}
	if !cal.Idempotent && cal.Key == "" {
		buf := make([]byte, randomKeyBytes)
		_, _ = rand.Read(buf) // crypto/rand.Read never fails on supported platforms.
		cal.Key = hex.EncodeToString(buf)
	}
	return cal, nil
}

// repeatable tells whether a call may run more than once.
func (srv *Server) repeatable(service, method, path string) bool {
	if slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method) {
		return true
	}
	// A service may resolve dot segments and encoded slashes, and then run another call than the rule is meant for.
	plain, err := url.PathUnescape(path)
	if err != nil || (pathlib.Clean(plain) != plain && pathlib.Clean(plain)+"/" != plain) {
		return false
	}
	if srv.Repeatable(service, method+" "+plain) {
		return true
	}
	for _, rule := range config.EntryRetryable.Of(srv.Settings) {
		if rule.Matches(service, method, path) {
			return true
		}
	}
	return false
}

func requestHeader(hdr http.Header) map[string]string {
	out := make(map[string]string, len(hdr))
	for name, vals := range hdr {
		if !slices.Contains(privateHeaders, name) {
			out[name] = strings.Join(vals, ", ")
		}
	}
	return out
}
