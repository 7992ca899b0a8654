package recordproxy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flaxshelf.example/flaxshelf/internal/clock"
)

// controlSize is the size of the buffer for the control messages of one read, in bytes. A timestamp takes 32.
const controlSize = 128

// interval is a time that is known to be between two times of package clock.
type interval struct{ earliest, latest time.Duration }

// socketReader reads from a TCP socket and tells when the kernel received what it reads. A recorder that did not get the
// processor reads late; with the time of receipt, the rules checker knows when the party sent the bytes. It is not safe for
// concurrent use.
type socketReader struct {
	socket       syscall.RawConn
	stalls       *stallMonitor
	control      [controlSize]byte
	segmentCount uint32 // segments with bytes that the socket had received after the previous read
}

// enableTimestamps makes the kernel keep the time at which a socket receives bytes. A listener passes the option on to the
// sockets that it accepts. It has the signature of net.ListenConfig.Control.
func enableTimestamps(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return errors.Join(err, optionErr)
}

// newSocketReader returns a reader of a TCP connection whose socket has enableTimestamps.
func newSocketReader(conn net.Conn, stalls *stallMonitor) (*socketReader, error) {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("recordproxy: read from %T: %w", conn, errors.ErrUnsupported)
	}
	socket, err := tcpConn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("recordproxy: read from a socket: %w", err)
	}
	return &socketReader{socket: socket, stalls: stalls}, nil
}

// read waits for bytes and reads them. They were received in the returned interval, the last of them at its end. The error is
// io.EOF after the party's last byte; the party then closed the connection in the interval.
func (r *socketReader) read(buffer []byte) (size int, received interval, err error) {
	var controlLength int
	var readErr error
	err = r.socket.Read(func(descriptor uintptr) (done bool) {
		size, controlLength, _, _, readErr = unix.Recvmsg(int(descriptor), buffer, r.control[:], 0)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	now := time.Now()
	switch {
	case err != nil:
		return 0, interval{}, err
	case readErr != nil:
		return 0, interval{}, fmt.Errorf("recordproxy: receive from a socket: %w", readErr)
	}
	info := r.connectionInfo()
	if size == 0 {
		// The kernel stamps no segment without bytes, but the closing one carries an acknowledgement.
		endedAt := clock.At(now) - time.Duration(info.Last_ack_recv)*time.Millisecond
		return 0, interval{earliest: endedAt, latest: clock.At(now)}, io.EOF
	}
	return size, r.receivedInterval(info, clock.At(now), receiveDelay(r.control[:controlLength], now)), nil
}

// receivedInterval returns the interval in which the bytes of a read were received. The kernel's timestamp is that of the last
// segment, so that earlier ones may have been received since the process last ran.
func (r *socketReader) receivedInterval(info *unix.TCPInfo, now, delay time.Duration) interval {
	segments := info.Data_segs_in - r.segmentCount
	r.segmentCount = info.Data_segs_in
	latest := now - delay
	if segments == 1 {
		return interval{earliest: latest, latest: latest}
	}
	return interval{earliest: min(r.stalls.earliestReceipt(now), latest), latest: latest}
}

// kernelTime is a timestamp of the kernel since the Unix epoch, as in the data of a control message.
type kernelTime struct{ Seconds, Nanoseconds int64 }

// receiveDelay returns the time since the kernel's timestamp in the control messages of a read, or zero if they have none.
func receiveDelay(control []byte, now time.Time) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, message := range messages {
		var receivedAt kernelTime
		isTimestamp := message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SO_TIMESTAMPNS
		if !isTimestamp {
			continue
		}
		if _, err := binary.Decode(message.Data, binary.NativeEndian, &receivedAt); err != nil || receivedAt.Seconds == 0 {
			return 0
		}
		return max(now.Sub(time.Unix(receivedAt.Seconds, receivedAt.Nanoseconds)), 0)
	}
	return 0
}

// connectionInfo returns the kernel's information about the connection, or zeros if it has none.
func (r *socketReader) connectionInfo() *unix.TCPInfo {
	var info *unix.TCPInfo
	var infoErr error
	err := r.socket.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return &unix.TCPInfo{}
	}
	return info
}
