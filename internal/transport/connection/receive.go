package connection

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferPart is the part of a process's memory limit that the kernel may hold unread of one connection, as its
	// inverse. The kernel adds as much for its own structures.
	receiveBufferPart = 4096
	// minReceiveBuffer and maxReceiveBuffer limit the size of the buffers: an answer from another region needs a few
	// kilobytes for each millisecond of a round trip.
	minReceiveBuffer = 16 << 10
	maxReceiveBuffer = 256 << 10
)

// ReceiveBuffer is the size in bytes of the kernel's buffer for what a connection has received and nobody has read. The
// sender waits while it is full. 0 leaves the size to the kernel.
type ReceiveBuffer int

// ReceiveBufferFor returns the size for a process with a memory limit in bytes, 0 if the limit is unknown.
func ReceiveBufferFor(memoryLimit int64) ReceiveBuffer {
	if memoryLimit <= 0 {
		return 0
	}
	return ReceiveBuffer(min(max(memoryLimit/receiveBufferPart, minReceiveBuffer), maxReceiveBuffer))
}

// Control sets the size for a socket before it connects or listens; accepted connections take it over. It is meant for
// net.Dialer and net.ListenConfig.
func (b ReceiveBuffer) Control(_, _ string, raw syscall.RawConn) error {
	if b <= 0 {
		return nil
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(b))
	})
	if err != nil {
		return err
	}
	return optionErr
}
