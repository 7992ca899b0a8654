package transport

// Outbox collects the messages that one step has for one connection, so that they go to its event loop together. It belongs
// to the goroutine that makes the steps. The zero value is empty and ready to use.
type Outbox struct {
	bytes    []byte
	expiring []expiringMessage
}

// expiringMessage is a part of an outbox's bytes that is to be written only while it is of use.
type expiringMessage struct {
	begin, end int
	wanted     func() bool // nil: always
	expired    func()
}

// Empty reports whether nothing was put in since the last flush.
func (o *Outbox) Empty() bool { return len(o.bytes) == 0 }

// Put has encode append a message. The error is that of encode, and the outbox is then unchanged.
func (o *Outbox) Put(encode func(dst []byte) ([]byte, error)) error {
	bytes, err := encode(o.bytes)
	if err == nil {
		o.bytes = bytes
	}
	return err
}

// PutExpiring is Put for a message that is dropped if, when it is to be written, the flush is no longer in time or wanted
// returns false; expired is then called. wanted is called on the event loop, and may be nil; expired is called on the event
// loop or on the goroutine that flushes. Neither is called where PutExpiring fails.
func (o *Outbox) PutExpiring(encode func(dst []byte) ([]byte, error), wanted func() bool, expired func()) error {
	begin := len(o.bytes)
	if err := o.Put(encode); err != nil {
		return err
	}
	o.expiring = append(o.expiring, expiringMessage{begin, len(o.bytes), wanted, expired})
	return nil
}

// Flush hands the messages to the connection's event loop and empties the outbox. inTime is called on the event loop: a
// process that is stopped between a decision and its write would write it long after it had become wrong. If c is nil, or
// the connection cannot take the messages, all expiring ones expire.
func (o *Outbox) Flush(c *Conn, inTime func() bool) {
	bytes, expiring := o.bytes, o.expiring
	o.bytes, o.expiring = nil, nil
	queued := c != nil && c.RunInLoop(len(bytes), func(write func([]byte)) {
		writeUnexpired(write, bytes, expiring, inTime)
	})
	if queued {
		return
	}
	for _, m := range expiring {
		m.expired()
	}
}

// writeUnexpired writes the bytes without the messages that have expired, in order.
func writeUnexpired(write func([]byte), bytes []byte, expiring []expiringMessage, inTime func() bool) {
	written := 0
	current := len(expiring) == 0 || inTime()
	for _, m := range expiring {
		if current && (m.wanted == nil || m.wanted()) {
			continue
		}
		write(bytes[written:m.begin])
		m.expired()
		written = m.end
	}
	write(bytes[written:])
}
