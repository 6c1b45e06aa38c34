package plain_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/plain"
)

// uploadBytes is the size of a request body that is longer than what the buffers of two sockets hold.
const uploadBytes = 12 << 20

// upload calls a service with a long body, and returns the status and the body of its response.
func upload(t *testing.T, cli *plain.Client, gate func() error) (status int, body string, err error) {
	t.Helper()
	rqs := request(gate)
	rqs.Body, rqs.Length = strings.NewReader(strings.Repeat("u", uploadBytes)), uploadBytes
	resp, _, err := cli.Do(t.Context(), rqs)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// unframedPart is the beginning of a response with neither a length nor chunks.
const unframedPart = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"

// TestResponseThatIsResetUnderAnUploadIsNotComplete guards against the beginning of a response that is forwarded, and
// recorded for calls that run once, as a complete one, because the service has reset the connection while the request
// was still being sent.
func TestResponseThatIsResetUnderAnUploadIsNotComplete(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
		for name, gate := range map[string]func() error{"pooled": nil, "gated": allow} {
			t.Run(fmt.Sprint(name, " after ", wait), func(t *testing.T) {
				cli := startService(t, func(con net.Conn) bool {
					_, _ = io.WriteString(con, unframedPart)
					time.Sleep(wait)
					_ = con.(*net.TCPConn).SetLinger(0) // Resets the connection when it is closed.
					return false
				})
				for range 20 {
					if status, body, err := upload(t, cli, gate); err == nil {
						t.Errorf("status %d with body %q", status, body)
					}
				}
			})
		}
	}
}

// TestEarlyResponseIsComplete guards against a complete response that is lost because the service has not read all of
// the request.
func TestEarlyResponseIsComplete(t *testing.T) {
	framed := strings.Replace(unframedPart, "\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n", 1)
	for name, end := range map[string]func(con net.Conn){
		"request not read": func(con net.Conn) {
			_ = con.(*net.TCPConn).CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
		"request read": func(con net.Conn) {
			_ = con.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, con)
		},
		"closed, then reset": func(con net.Conn) {
			_ = con.(*net.TCPConn).CloseWrite()
			_ = con.(*net.TCPConn).SetLinger(0)
		},
		"reset": func(con net.Conn) { _ = con.(*net.TCPConn).SetLinger(0) },
	} {
		for _, text := range []string{unframedPart, framed} {
			if name == "reset" && text == unframedPart {
				continue // It is not complete.
			}
			t.Run(fmt.Sprint(name, " framed=", text == framed), func(t *testing.T) {
				cli := startService(t, func(con net.Conn) bool {
					_, _ = io.WriteString(con, text)
					end(con)
					return false
				})
				for range 10 {
					iis := is.New(t)
					status, body, err := upload(t, cli, allow)
					iis.NoErr(err)
					iis.Equal(status, http.StatusOK)
					iis.Equal(body, "part")
				}
			})
		}
	}
}
