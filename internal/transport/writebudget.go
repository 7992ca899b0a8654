package transport

// writeBudgetChecks is how many times the queues are added up while as many bytes are queued as the budget allows.
const writeBudgetChecks = 8

// writeBudget limits the bytes that are queued for the peers of all connections together. Above the limit, it closes the
// connection with most of them. It is used on the event loop only, so it needs a Dialer with one event loop.
type writeBudget struct {
	limit       int // in bytes; 0: no limit
	connections map[*Conn]bool
	sinceCheck  int // bytes queued since the queues were last added up
}

// add adds a connection that has opened.
func (b *writeBudget) add(c *Conn) {
	if b.limit == 0 {
		return
	}
	if b.connections == nil {
		b.connections = map[*Conn]bool{}
	}
	b.connections[c] = true
}

// remove removes a connection that has closed.
func (b *writeBudget) remove(c *Conn) { delete(b.connections, c) }

// written records that bytes of a write were queued, because the peer has not read the former ones.
func (b *writeBudget) written(bytes int) {
	if b.limit == 0 {
		return
	}
	b.sinceCheck += bytes
	if b.sinceCheck < b.limit/writeBudgetChecks {
		return
	}
	b.sinceCheck = 0
	b.enforce()
}

// enforce closes the connections with most bytes queued until the others keep within the limit.
func (b *writeBudget) enforce() {
	total := 0
	for c := range b.connections {
		total += c.unwritten()
	}
	for total > b.limit {
		slowest := b.slowest()
		total -= slowest.unwritten()
		slowest.overflow()
	}
}

// slowest returns the connection with most bytes queued.
func (b *writeBudget) slowest() *Conn {
	var slowest *Conn
	for c := range b.connections {
		if slowest == nil || c.unwritten() > slowest.unwritten() {
			slowest = c
		}
	}
	return slowest
}
