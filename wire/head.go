// Package wire checks the responses that HTTP clients receive, beyond what package net/http checks.
//
// That package accepts some heads that are no HTTP/1.1. What follows such a head cannot be told: a client would wait
// for a response that does not come, or take other bytes for the response. And it takes a body without framing for
// complete if the connection was reset while the request was still being sent.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// ErrMalformed is returned for a response whose head is no HTTP/1.1.
var ErrMalformed = errors.New("wire: response is malformed")

// statusLine matches the start of a status line up to its status code, which is from 100 to 599.
var statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-5][0-9][0-9])( |$)`)

// switchingProtocols is the status code of a response after which the server speaks another protocol. No client of
// this program asks for one.
const switchingProtocols = "101"

// maxQuotedBytes is the length of what an error quotes of a line.
const maxQuotedBytes = 80

// CheckHead checks the head at the start of raw, which package net/http has accepted. It returns what follows the head,
// and whether the head is that of a final response, and not of an informational one before it. The error wraps
// ErrMalformed.
func CheckHead(raw []byte) (isFinal bool, rest []byte, err error) {
	line, rest := cutLine(raw)
	match := statusLine.FindSubmatch(line)
	if match == nil {
		return false, nil, fmt.Errorf("%w: status line %.*q", ErrMalformed, maxQuotedBytes, line)
	}
	code := string(match[2])
	if code == switchingProtocols {
		return false, nil, fmt.Errorf("%w: switch to another protocol without a request for it", ErrMalformed)
	}
	isFinal = !strings.HasPrefix(code, "1")
	mayHaveChunks := isFinal && string(match[1]) != "0"
	for line, rest = cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		if !isField(line, isFinal, mayHaveChunks) {
			return false, nil, fmt.Errorf("%w: header field %.*q", ErrMalformed, maxQuotedBytes, line)
		}
	}
	return isFinal, rest, nil
}

// isField tells whether a line is a valid header field. A blank in a name, which package net/http accepts, hides the
// field from those that look for it, and a line that begins with a blank continues the field before it. An
// informational response has no body, and HTTP/1.0 no chunks; that package ignores their framing.
func isField(line []byte, mayHaveBody, mayHaveChunks bool) bool {
	name, val, _ := strings.Cut(string(line), ":")
	switch {
	case strings.ContainsAny(name, " \t"):
		return false
	case strings.EqualFold(name, "Transfer-Encoding"):
		return mayHaveChunks
	case strings.EqualFold(name, "Content-Length"):
		return mayHaveBody || strings.TrimSpace(val) == "0"
	}
	return true
}

// cutLine returns the first line, without its end, and what follows it.
func cutLine(raw []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(raw, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}
