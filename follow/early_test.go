package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestDigestBeforeTheListingIsNotUsed guards against a process that has just started and takes what another one has
// read for the whole topic: it would go on from there, and use what was removed before.
func TestDigestBeforeTheListingIsNotUsed(t *testing.T) {
	iis := is.New(t)
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	listing, list := make(chan struct{}), make(chan struct{})
	seen := make(chan string, 10)
	flw := follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), ReadInterval: time.Minute, ResponseTimeout: time.Minute,
		Source: follow.Source{
			List: func(context.Context) ([]follow.Record, follow.Position, error) {
				close(listing)
				<-list
				return nil, follow.Position{Offset: 10}, nil
			},
		},
		Sharing:  &follow.Sharing{Paused: func() bool { return false }},
		OnList:   func([]follow.Record, follow.Position) { seen <- "listing" },
		OnChange: func(rec follow.Record) { seen <- rec.Key },
	})
	<-listing
	flw.Receive(follow.Digest{From: 0, To: 12, Records: []follow.Record{{Key: "gone", Value: []byte("v")}}})
	close(list)
	iis.Equal(<-seen, "listing")
	iis.Equal(len(seen), 0)
}
