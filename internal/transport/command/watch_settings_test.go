package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/transport/logwriter"
	"lagoongw/platform"
)

// lockedLog holds log lines that a test reads while they are written.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lockedLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// TestUnreadableSettingsAreReported guards against a settings file that can't be read and nobody is told: the log names
// it once each time, the previous settings stay in force, and later changes are applied.
func TestUnreadableSettingsAreReported(t *testing.T) {
	const unreadable, applied = "the settings file can't be read", "changed settings applied"
	text := `{"node_name": "n", "ip": "127.0.0.2", "zone": "a", "region": "r",
		"listen": {"front": "127.0.0.2:1", "ready": "127.0.0.2:2", "control": "127.0.0.2:3", "directory": "127.0.0.2:4"},
		"bounds": {"grace_s": 1, "retry_window_s": 10}, "platform": {"address": "127.0.0.2:1"}}`
	path := filepath.Join(t.TempDir(), "settings.json")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
		write(text)
		settings, err := platform.ReadSettings(path)
		is.NoErr(err)
		writer := logwriter.New(&bytes.Buffer{}, 0)
		defer writer.Close()
		p := newProcess(&gatewaySettings{Secret: "a secret of sixteen"}, settings, writer)
		log := &lockedLog{}
		p.Logger = zerolog.New(log)
		p.Prepare()
		go watchSettings(t.Context(), path, nil, p)
		expect := func(unreadableLines, appliedLines int) {
			t.Helper()
			time.Sleep(5 * settingsPollInterval)
			synctest.Wait()
			is.Equal(log.count(unreadable), unreadableLines)
			is.Equal(log.count(applied), appliedLines)
		}
		expect(0, 0)
		is.NoErr(os.Remove(path))
		expect(1, 0)
		write(text)
		expect(1, 0)
		is.NoErr(os.Remove(path))
		expect(2, 0)
		write(strings.Replace(text, `"grace_s": 1`, `"grace_s": 2`, 1))
		expect(2, 1)
	})
}
