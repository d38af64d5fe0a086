package caller

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasLeft reports whether the caller has closed its connection or reset it. A read tells this only
// after all bytes that were received before.
func hasLeft(nc net.Conn) bool {
	source, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(list, 0); err == nil && n > 0 {
			left = list[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return err == nil && left
}
