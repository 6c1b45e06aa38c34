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

// blockedWriter is a writer that blocks until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	buf       bytes.Buffer
}

func (bwr *blockedWriter) Write(line []byte) (int, error) {
	<-bwr.unblocked
	bwr.mu.Lock()
	defer bwr.mu.Unlock()
	return bwr.buf.Write(line)
}

// TestBlockedOutputDoesNotBlockCallers guards against a process that blocks because nothing reads its log output.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	iis := is.New(t)
	grp := group.New(context.Background(), "test")
	bwr := &blockedWriter{unblocked: make(chan struct{})}
	drops := 0
	bnd := logs.NewBounded(grp, bwr, func() { drops++ })
	for range 5000 {
		_, err := bnd.Write([]byte("line\n"))
		iis.NoErr(err)
	}
	iis.True(drops >= 2900)
	close(bwr.unblocked)
	iis.NoErr(grp.Stop())
	text := bwr.buf.String()
	iis.Equal(strings.Count(text, "line\n"), 5000-drops)
	iis.True(strings.Contains(text, "lines dropped"))
}
