package fault

import (
	"io"
	"net/http"
)

// RawResponse returns a handler that writes the same bytes for each request, in place of an HTTP response, and closes
// the connection.
func RawResponse(text string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		con, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			http.Error(rw, "fault: "+err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(con, text) // An error means that the client has disconnected.
		_ = con.Close()
	})
}
