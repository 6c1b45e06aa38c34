package front

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/retry"
)

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// WatchSettings takes in the settings file whenever it changes, and at once when a signal comes. Addresses and the name
// of the process keep their values until it starts again.
func (frt *Front) WatchSettings(file string, signals <-chan os.Signal) {
	last, err := os.ReadFile(file) //nolint:gosec // The path is the process's own argument.
	if err != nil {
		frt.log.Error(err, "front: settings cannot be read")
	}
	frt.group.Go("settings", func(ctx context.Context) error {
		tick := make(chan struct{}, 1)
		sub := frt.clock.Every(reloadInterval, func() {
			select {
			case tick <- struct{}{}:
			default: // A look is due already.
			}
		})
		defer sub.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				frt.log.Info("front: signal to reload settings")
			case <-tick:
			}
			last = frt.reload(file, last)
		}
	})
}

// reload takes in the file if its content differs from the last one, and returns the content. Settings with a fault are
// not taken in.
func (frt *Front) reload(file string, last []byte) []byte {
	text, err := os.ReadFile(file) //nolint:gosec // The path is the process's own argument.
	if err != nil {
		frt.log.Error(err, "front: settings cannot be read, keeping the old ones")
		return last
	}
	if bytes.Equal(text, last) {
		return last
	}
	set, err := config.Parse(string(text), "front")
	if err != nil {
		frt.log.Error(fmt.Errorf("front: %w", err), "front: settings have faults, keeping the old ones")
		return text
	}
	frt.settings.Store(set)
	frt.log.Info("front: settings reloaded", "grace", config.ProcessGrace.Of(set))
	return text
}

// Grace returns the longest time that a planned stop may take.
func (frt *Front) Grace() time.Duration { return config.ProcessGrace.Of(frt.settings.Load()) }

// terms returns the limits on repeats in the newest settings.
func (frt *Front) terms() retry.SharedLimits {
	set := frt.settings.Load()
	return retry.SharedLimits{
		Ratio: config.FrontRepeatRatio.Of(set), Extra: config.FrontRepeatExtra.Of(set),
		Window: config.FrontRepeatWindow.Of(set),
	}
}
