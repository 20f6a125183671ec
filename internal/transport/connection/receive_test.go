package connection

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// kernelBuffer returns the size of the kernel's buffer for what a connection receives.
func kernelBuffer(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var size int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		size, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return size
}

// Connections that nobody read held hundreds of kilobytes each in the kernel, which count as memory of the process.
func TestUnreadBytesAreBounded(t *testing.T) {
	for _, c := range []struct {
		memoryLimit int64
		buffer      ReceiveBuffer
	}{
		{
			memoryLimit: 112 << 20,
			buffer:      28 << 10,
		},
		{
			memoryLimit: 1 << 20,
			buffer:      minReceiveBuffer,
		},
		{
			memoryLimit: 16 << 30,
			buffer:      maxReceiveBuffer,
		},
		{}, // the kernel chooses
	} {
		is := is.New(t)
		buffer := ReceiveBufferFor(c.memoryLimit)
		is.Equal(buffer, c.buffer)
		listenConfig := net.ListenConfig{Control: buffer.Control}
		listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		pool := NewPool()
		pool.ReceiveBuffer = buffer
		dialed, err := pool.DialDirect(t.Context(), listener.Addr().String())
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		for _, conn := range []net.Conn{dialed, accepted} {
			size := kernelBuffer(t, conn)
			is.True(size >= int(buffer))
			is.True(buffer == 0 || size <= 2*int(buffer)) // the kernel's own structures included
			_ = conn.Close()
		}
		_ = listener.Close()
	}
}
