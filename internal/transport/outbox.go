package transport

// Outbox gathers what one step of a core has for one connection, so that it goes to the loop together. It belongs to the
// owner of the core.
type Outbox struct {
	out   []byte
	timed []timed
}

// timed is a part of an outbox that is only worth writing for a while.
type timed struct {
	begin, end int
	wanted     func() bool
	late       func()
}

// Empty tells whether nothing was put in since the last flush.
func (o *Outbox) Empty() bool { return len(o.out) == 0 }

// Put has encode append bytes.
func (o *Outbox) Put(encode func(dst []byte) ([]byte, error)) error {
	out, err := encode(o.out)
	if err == nil {
		o.out = out
	}
	return err
}

// PutExpiring is Put of a part that is dropped where, at its write, it is no longer in time or not wanted any more; late is then
// called, on the loop or on the owner's goroutine. wanted is asked on the loop; nil: always.
func (o *Outbox) PutExpiring(encode func(dst []byte) ([]byte, error), wanted func() bool, late func()) error {
	begin := len(o.out)
	if err := o.Put(encode); err != nil {
		return err
	}
	o.timed = append(o.timed, timed{begin, len(o.out), wanted, late})
	return nil
}

// Flush hands it all to the connection's loop. Risk covered: a process that is stopped between a decision and its write
// would write it long after it had become wrong. What a connection that is cut off can't take counts as late too.
func (o *Outbox) Flush(c *Conn, inTime func() bool) {
	out, parts := o.out, o.timed
	o.out, o.timed = nil, nil
	sent := c != nil && c.RunInLoop(len(out), func(write func([]byte)) {
		at, still := 0, len(parts) == 0 || inTime()
		for _, p := range parts {
			if still && (p.wanted == nil || p.wanted()) {
				continue
			}
			write(out[at:p.begin])
			p.late()
			at = p.end
		}
		write(out[at:])
	})
	if !sent {
		for _, p := range parts {
			p.late()
		}
	}
}
