package simsw_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/simsw"
)

// TestSwitch guards against a value that is applied although it cannot be parsed.
func TestSwitch(t *testing.T) {
	iis := is.New(t)
	mux := http.NewServeMux()
	var delay time.Duration
	simsw.Add(mux, "delay", time.ParseDuration, func(val time.Duration) { delay = val })
	post := func(value string) int {
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/sim/delay?value="+value, nil))
		return rec.Code
	}
	iis.Equal(post("3s"), http.StatusOK)
	iis.Equal(post("soon"), http.StatusBadRequest)
	iis.Equal(delay, 3*time.Second)
}
