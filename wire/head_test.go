package wire_test

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/wire"
)

func ExampleCheckHead() {
	raw := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
	isFinal, rest, err := wire.CheckHead([]byte(raw))
	fmt.Printf("%v %q %v\n", isFinal, rest, err)
	isFinal, rest, err = wire.CheckHead(rest)
	fmt.Printf("%v %q %v\n", isFinal, rest, err)
	_, _, err = wire.CheckHead([]byte("HTTP/1.1 000 OK\r\n\r\n"))
	fmt.Println(err)
	// Output:
	// false "HTTP/1.1 200 OK\r\n\r\n" <nil>
	// true "" <nil>
	// wire: response is malformed: status line "HTTP/1.1 000 OK"
}

// TestSoundStatusLines guards against sound responses that are rejected.
func TestSoundStatusLines(t *testing.T) {
	for line, want := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.1 200 ": true, "HTTP/1.0 599 X": true,
		"HTTP/1.1  404 X": true, "HTTP/1.1 100 Continue": false, "HTTP/1.1 199 X": false,
	} {
		for _, end := range []string{"\r\n", "\n"} {
			iis := is.New(t)
			isFinal, rest, err := wire.CheckHead([]byte(line + end + "X: y" + end + end + "body"))
			iis.NoErr(err)
			iis.Equal(isFinal, want)
			iis.Equal(string(rest), "body")
		}
	}
}

// TestInvalidStatusLines guards against responses that are not HTTP/1.1, or have no valid status.
func TestInvalidStatusLines(t *testing.T) {
	for _, line := range []string{
		"", "x", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 000 X", "HTTP/1.1 099", "HTTP/1.1 +20 X", "HTTP/1.1 101 X",
		"HTTP/1.1 600 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 200\tX", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
		"ICY 200 OK", " HTTP/1.1 200 OK",
	} {
		iis := is.New(t)
		_, _, err := wire.CheckHead([]byte(line + "\r\n\r\n"))
		iis.True(errors.Is(err, wire.ErrMalformed))
	}
}

// TestFields guards against sound heads that are rejected, and against lines that are read as another field than they
// seem, or as none.
func TestFields(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 X\r\n\r\n":                                                       true,
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\nX-Y:a b\r\n\r\n":                       true,
		"HTTP/1.1 200 X\r\nx-y:  a : b \r\nX-Empty:\r\n\r\n":                           true,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n":                         true,
		"HTTP/1.0 200 X\r\nContent-Length: 2\r\n\r\n":                                  true,
		"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n":                                  true,
		"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n":                                         true,
		"HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\n":                                  true,
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n a body \r\nthat : has blanks\r\n": true,
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\n":                                 false,
		"HTTP/1.1 200 X\r\nContent-Length\t: 2\r\n\r\n":                                false,
		"HTTP/1.1 200 X\r\nX Y: 2\r\n\r\n":                                             false,
		"HTTP/1.1 200 X\r\nX-Y: 1\r\n Content-Length: 2\r\n\r\n":                       false,
		"HTTP/1.1 200 X\r\nX-Y: 1\r\n\tfolded\r\n\r\n":                                 false,
		"HTTP/1.1 200 X\r\nX-Y: 1\r\n \r\n\r\n":                                        false,
		"HTTP/1.0 200 X\r\ntransfer-encoding: chunked\r\n\r\n":                         false,
		"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n":                         false,
		"HTTP/1.1 103 X\r\ncontent-length: 9\r\n\r\n":                                  false,
	} {
		iis := is.New(t)
		_, _, err := wire.CheckHead([]byte(head))
		iis.Equal(errors.Is(err, wire.ErrMalformed), !want)
		iis.Equal(err == nil, want)
	}
}

// FuzzCheckHead checks that a head that package net/http and CheckHead accept has a valid status, and fields of which
// that package has dropped or hidden none.
func FuzzCheckHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX-Y: 1\r\n folded\r\n\r\n")
	f.Add("HTTP/1.1 103 X\r\nContent-Length : 2\r\n\r\nHTTP/1.1 000 X\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		//nolint:bodyclose // Nothing is read of the body.
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		isFinal, rest, err := wire.CheckHead([]byte(text))
		if err != nil {
			return
		}
		if res.StatusCode < 100 || res.StatusCode > 599 || isFinal != (res.StatusCode >= 200) {
			t.Errorf("status %d, final: %v", res.StatusCode, isFinal)
		}
		lines := strings.Count(strings.TrimSuffix(text, string(rest)), "\n")
		fields := len(res.TransferEncoding)
		for name, values := range res.Header {
			if strings.ContainsAny(name, " \t") {
				t.Errorf("a field is named %q", name)
			}
			fields += len(values)
		}
		if lines != fields+2 && len(res.Header["Content-Length"]) == 0 && res.Trailer == nil && !addsCacheControl(res) {
			t.Errorf("%d fields in %d lines", fields, lines)
		}
	})
}

// addsCacheControl tells whether package net/http may have added a field in place of Pragma.
func addsCacheControl(res *http.Response) bool { return len(res.Header["Pragma"]) > 0 }
