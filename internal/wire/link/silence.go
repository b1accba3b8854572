package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeout bounds in milliseconds how long sent data may stay without an
// acknowledgement before the kernel ends a connection. A connection that went
// silent is found by nothing else, because its peer is not there to reset it.
const userTimeout = 1500

// boundSilence sets the user timeout of a connection before it is dialed.
func boundSilence(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	}); cerr != nil {
		return cerr
	}
	return err
}
