package duties

import (
	"time"

	"golang.org/x/sys/unix"

	"lagoongw/internal/coordination/duty"
)

// readClocks reads the clocks of the machine by system calls: the runtime's monotonic clock does not count the time in
// which the machine was suspended.
func readClocks() (reading duty.Reading, readable bool) {
	var boot, wall unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_REALTIME, &wall) != nil {
		return duty.Reading{}, false
	}
	return duty.Reading{
		Boot: time.Duration(boot.Nano()),
		Wall: time.Unix(wall.Unix()),
	}, true
}
