package demo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/demo"
)

// Guards against a demo that does not start, serves no request or does not stop.
func TestDemoServesShortRequests(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(demo.Run(context.Background(), demo.Options{Seed: 1, Short: true}, &out))
	is.True(strings.Contains(out.String(), "10k"))
	is.True(!strings.Contains(out.String(), "no-upstream"))
}
