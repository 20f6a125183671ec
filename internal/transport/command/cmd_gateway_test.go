package command

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/feed"
	"lagoongw/platform"
)

func TestGatewayHelpAndSettingsErrors(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"gateway", "--help"}, &out, &errOut), exitOK)
	golden(t, "gateway-help.txt", out.String())
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{"node_name": "n"}`), 0o600))
	errOut.Reset()
	is.Equal(Main([]string{"gateway", "--config", path}, &out, &errOut), exitFailed)
	golden(t, "gateway-faults.txt", errOut.String())
	errOut.Reset()
	is.Equal(Main([]string{"gateway", "--config", path, "--secret", "short"}, &out, &errOut), exitUsage)
	golden(t, "gateway-secret.txt", errOut.String())
}

// TestStoreRecoveryIsDetectedInTime checks that a change is seen within the three seconds that users allow after the
// store recovers, even if a hanging call began just before the recovery and the longest backoff follows it.
func TestStoreRecoveryIsDetectedInTime(t *testing.T) {
	is := is.New(t)
	is.True(platform.MaxCallTimeout(storeTimeout)+feed.MaxBackoff < 3*time.Second)
}

// TestGatewayStopsAfterSignal guards against a stop signal without effect: the goroutine that waits for it read the
// context from a variable that had been assigned another one.
func TestGatewayStopsAfterSignal(t *testing.T) {
	is := is.New(t)
	var ports []any
	for range 5 {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	for _, port := range ports {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.2:%d", port))
		is.NoErr(err) // the port is free at the address of the process too
		is.NoErr(listener.Close())
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, fmt.Appendf(nil, `{"node_name": "n", "ip": "127.0.0.2", "zone": "a", "region": "r",
		"listen": {"front": "127.0.0.2:%d", "ready": "127.0.0.2:%d", "control": "127.0.0.2:%d", "directory": "127.0.0.2:%d"},
		"bounds": {"grace_s": 1, "retry_window_s": 10}, "platform": {"address": "127.0.0.2:1"}}`, ports[:4]...), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- runGateway(ctx, &gatewaySettings{
			Config:      path,
			Secret:      "a secret of sixteen",
			MetricsPort: ports[4].(int),
			LogLevel:    "error",
		})
	}()
	cancel()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(time.Minute):
		t.Fatal("the gateway did not stop after the signal")
	}
}

// TestDutiesNeedSettings guards against a deployment without duties that calls the store for them.
func TestDutiesNeedSettings(t *testing.T) {
	is := is.New(t)
	settings := platform.Settings{
		Name:     "n",
		CPUShare: 0.2,
	}
	is.True(newDuties(settings) == nil)
	settings.Cloud.Address = "127.0.0.2:1"
	is.True(newDuties(settings) == nil)
	settings.Cloud.Autoscale = true
	is.True(newDuties(settings).Small)
	settings.CPUShare = 0.5
	is.True(!newDuties(settings).Small)
}
