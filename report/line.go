package report

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// errMalformed is returned for a line that does not consist of key=value fields.
var errMalformed = errors.New("report: malformed log line")

// fields holds the values of a log line by key.
type fields map[string]string

// parseLine parses a line of key=value fields whose values may be quoted. It skips what a collector of logs has put in
// front of the first field, which is the time or the message.
func parseLine(line string) (fields, error) {
	rest, found := trimPrefix(line)
	if !found {
		return nil, errMalformed
	}
	fds := make(fields)
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found || strings.ContainsAny(key, " \"") {
			return nil, errMalformed
		}
		val, after, err := cutValue(after)
		if err != nil {
			return nil, fmt.Errorf("report: value of %s: %w", key, err)
		}
		fds[key] = val
		rest = strings.TrimLeft(after, " ")
	}
	return fds, nil
}

// trimPrefix returns the line from its first field on.
func trimPrefix(line string) (string, bool) {
	line = " " + strings.TrimSpace(line)
	for _, first := range []string{" time=", " msg="} {
		if idx := strings.Index(line, first); idx >= 0 {
			return line[idx+1:], true
		}
	}
	return "", false
}

// cutValue returns the value at the start of text, and what follows it.
func cutValue(text string) (val, after string, err error) {
	if !strings.HasPrefix(text, `"`) {
		val, after, _ = strings.Cut(text, " ")
		return val, after, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", errMalformed
	}
	val, err = strconv.Unquote(quoted)
	return val, text[len(quoted):], err
}
