package logs_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/logs"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (gat *gate) Write(line []byte) (int, error) {
	<-gat.open
	gat.mu.Lock()
	defer gat.mu.Unlock()
	return gat.buf.Write(line)
}

// TestBlockedOutputDoesNotBlockCallers guards against a process that stands still because nobody reads its logs.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	iis := is.New(t)
	grp := group.New(context.Background(), "test")
	gat := &gate{open: make(chan struct{})}
	drops := 0
	bnd := logs.NewBounded(grp, gat, func() { drops++ })
	for range 5000 {
		_, err := bnd.Write([]byte("line\n"))
		iis.NoErr(err)
	}
	iis.True(drops >= 2900)
	close(gat.open)
	iis.NoErr(grp.Stop())
	text := gat.buf.String()
	iis.Equal(strings.Count(text, "line\n"), 5000-drops)
	iis.True(strings.Contains(text, "lines dropped"))
}
