package transport

// Outbox collects encoded messages for one connection and passes them to its event loop together. It is not safe for
// concurrent use. The zero value is empty and ready to use.
type Outbox struct {
	bytes    []byte
	expiring []expiringMessage
}

// expiringMessage is a message, at a range of an outbox's bytes, that is discarded if it has expired when it would be written.
type expiringMessage struct {
	begin, end int
	wanted     func() bool // whether the message is still wanted; nil means that it is
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

// PutExpiring appends a message like Put. Directly before the message would be written, the event loop calls Flush's inTime
// and then wanted. If either returns false, the message has expired: it is discarded, and onExpired is called. A nil wanted
// means that the message is always wanted. onExpired runs on the event loop, or in Flush if that cannot queue the messages.
// If PutExpiring fails, it never calls wanted or onExpired.
func (o *Outbox) PutExpiring(encode func(dst []byte) ([]byte, error), wanted func() bool, onExpired func()) error {
	begin := len(o.bytes)
	if err := o.Put(encode); err != nil {
		return err
	}
	o.expiring = append(o.expiring, expiringMessage{begin, len(o.bytes), wanted, onExpired})
	return nil
}

// Flush passes the messages to the connection's event loop and empties the outbox. inTime reports whether it is not too late
// for the expiring messages. It is called on the event loop, directly before the write, because a process that is suspended
// between a decision and its write would otherwise write outdated messages. If c is nil, or its write queue is full, or its
// event loop has stopped, all expiring messages expire at once. If the connection closes before the write, all messages are
// lost, and onExpired is not called.
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

// writeUnexpired writes all messages except those that have expired, in order.
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
