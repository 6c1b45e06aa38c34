package simsw_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/simsw"
)

// Guards against a value that changes a setting although it cannot be parsed.
func TestAddControl(t *testing.T) {
	iis := is.New(t)
	mux := http.NewServeMux()
	var delay time.Duration
	simsw.AddControl(mux, "delay", time.ParseDuration, func(val time.Duration) { delay = val })
	post := func(value string) int {
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/sim/delay?value="+value, nil))
		return rec.Code
	}
	iis.Equal(post("3s"), http.StatusOK)
	iis.Equal(post("soon"), http.StatusBadRequest)
	iis.Equal(delay, 3*time.Second)
}
