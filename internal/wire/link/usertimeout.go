package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is the TCP_USER_TIMEOUT of a connection: the time in
// milliseconds that sent data may stay unacknowledged before the kernel closes
// the connection. A peer that has lost power or its network sends no reset, so
// writes to it do not fail until this timeout expires.
const userTimeoutMillis = 1500

// setUserTimeout is a net.Dialer.Control function that sets TCP_USER_TIMEOUT on a
// socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
