package front_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestRegionsOfSettingsAndConfiguration guards against regions in the settings or in the configuration that do not
// reach the relay, and against regions that are added to the settings but need a restart.
func TestRegionsOfSettingsAndConfiguration(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	restricted := strings.Replace(operatorConfig(3, "s"), `"MaxAttempts":2`,
		`"MaxAttempts":2,"AllowedRegions":["north"]`, 1)
	iis.True(restricted != operatorConfig(3, "s"))
	rig.store.put("keyed.op", "config", operatorConfig(2, "s"))
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
	rig.store.put("keyed.op", "config", restricted)
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable }) // The region is not known.

	file := filepath.Join(t.TempDir(), "front.ini")
	iis.NoErr(os.WriteFile(file, []byte(rig.settings), 0o600))
	hup := make(chan os.Signal, 1)
	rig.frt.WatchSettings(file, hup)
	iis.NoErr(os.WriteFile(file, []byte(rig.settings+"regions = z:north\n"), 0o600))
	hup <- syscall.SIGHUP
	waitUntil(t, func() bool { return rig.call(t) == http.StatusOK })
	iis.NoErr(os.WriteFile(file, []byte(rig.settings+"regions = z:south\n"), 0o600))
	hup <- syscall.SIGHUP
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
}
