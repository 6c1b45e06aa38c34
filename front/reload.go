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

// reloadInterval is the time between two checks of the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// WatchSettings starts to reload the settings file whenever its content has changed. It checks the file every
// reloadInterval, and at once on a signal. Only the grace time, the retry limits and the regions of data centres
// take effect without a restart; addresses, the name of the process and all other settings keep the values from its
// start.
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
			default: // A check is due already.
			}
		})
		defer sub.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				frt.log.Info("front: signal received, checking settings")
			case <-tick:
			}
			last = frt.reload(file, last)
		}
	})
}

// reload applies the settings in the file if its content differs from last, and returns the content. Invalid settings
// are logged once and not applied.
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
		frt.log.Error(fmt.Errorf("front: %w", err), "front: settings are invalid, keeping the old ones")
		return text
	}
	frt.settings.Store(set)
	frt.log.Info("front: settings reloaded", "grace", config.ProcessGrace.Of(set))
	return text
}

// Grace returns the longest time that a planned stop may take, from the current settings.
func (frt *Front) Grace() time.Duration { return config.ProcessGrace.Of(frt.settings.Load()) }

// retryLimits returns the limits on retries in the current settings.
func (frt *Front) retryLimits() retry.SharedLimits {
	set := frt.settings.Load()
	return retry.SharedLimits{
		Ratio: config.FrontRetryRatio.Of(set), Extra: config.FrontRetryExtra.Of(set),
		Window: config.FrontRetryWindow.Of(set),
	}
}

// regions returns the region of each data centre in the current settings.
func (frt *Front) regions() map[string]string { return config.FrontRegions.Of(frt.settings.Load()) }
