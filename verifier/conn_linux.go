package verifier

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// endOf returns how the receiving side of a TCP socket has ended from which received bytes were
// read. A socket that was reset is closed, whether or not the peer had ended its side before:
// Linux counts sequence numbers as bytes received, of which a FIN takes one.
func endOf(raw syscall.RawConn, received int) end {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil || infoErr != nil:
		return endUnknown
	case info.State == unix.BPF_TCP_CLOSE_WAIT:
		return endOrderly
	case info.State != unix.BPF_TCP_CLOSE:
		return endUnknown
	case info.Bytes_received > uint64(received):
		return endOrderly
	default:
		return endReset
	}
}
