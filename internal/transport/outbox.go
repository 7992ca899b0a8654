package transport

// Outbox collects messages to one connection, to pass them to its event loop together. It is not safe for concurrent use.
// The zero value is empty and ready to use.
type Outbox struct {
	bytes    []byte
	expiring []expiringMessage
}

// expiringMessage is a range of an outbox's bytes that is written only if it has not expired.
type expiringMessage struct {
	begin, end int
	wanted     func() bool // nil means always
	onExpired  func()
}

// IsEmpty reports whether the outbox has no messages.
func (o *Outbox) IsEmpty() bool { return len(o.bytes) == 0 }

// Put appends a message by calling encode. If encode fails, Put returns its error and leaves the outbox unchanged.
func (o *Outbox) Put(encode func(dst []byte) ([]byte, error)) error {
	bytes, err := encode(o.bytes)
	if err == nil {
		o.bytes = bytes
	}
	return err
}

// PutExpiring is Put for a message that is discarded if it is too late for it when it is about to be written, according to
// Flush, or if wanted returns false then. In these cases expired is called. wanted may be nil; it is called on the event
// loop. expired is called on the event loop or from Flush. Neither is called if PutExpiring fails.
func (o *Outbox) PutExpiring(encode func(dst []byte) ([]byte, error), wanted func() bool, onExpired func()) error {
	begin := len(o.bytes)
	if err := o.Put(encode); err != nil {
		return err
	}
	o.expiring = append(o.expiring, expiringMessage{begin, len(o.bytes), wanted, onExpired})
	return nil
}

// Flush passes the messages to the connection's event loop and empties the outbox. inTime is called on the event loop, since
// a process that is stopped between a decision and its write would write messages that are out of date. If c is nil, or its
// write queue is full, or its event loop has stopped, all expiring messages expire.
func (o *Outbox) Flush(c *Conn, inTime func() bool) {
	bytes, expiring := o.bytes, o.expiring
	o.bytes, o.expiring = nil, nil
	queued := c != nil && c.RunOnLoop(len(bytes), func(write func([]byte)) {
		writeUnexpired(write, bytes, expiring, inTime)
	})
	if queued {
		return
	}
	for _, m := range expiring {
		m.onExpired()
	}
}

// writeUnexpired writes the bytes without the messages that have expired, in order.
func writeUnexpired(write func([]byte), bytes []byte, expiring []expiringMessage, inTime func() bool) {
	written := 0
	sentInTime := len(expiring) == 0 || inTime()
	for _, m := range expiring {
		if sentInTime && (m.wanted == nil || m.wanted()) {
			continue
		}
		write(bytes[written:m.begin])
		m.onExpired()
		written = m.end
	}
	write(bytes[written:])
}
