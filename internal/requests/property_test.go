package requests

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// randomRun drives a core with random inputs and checks the invariants that hold in any order of inputs. The inputs of each
// source (an owner's connection, a link, the discovery service) stay in order, as on a socket. Which sources the core reads in
// a step, and in what order, is random.
type randomRun struct {
	*harness
	rng         *rand.Rand
	nodes       []string
	unread      map[string][]Input // inputs that each source has sent and the core has not read
	sources     []string           // the keys of unread, in the order of their first input
	openConns   []ConnID           // connections that neither side has closed, as far as the owners know
	lastConn    ConnID
	openLinks   map[LinkID]string // node of each link that is established, or whose LinkUp the core has not read
	lastTask    int
	submissions map[string]*submission
	inactive    map[string]bool // nodes that are not active according to the latest update that the core has read
}

// submission is a request, with what its owner has received for it.
type submission struct {
	conn             ConnID
	deadline         Time
	readByCore       bool
	abandoned        bool // the core has read its cancellation or the end of its connection, or has closed the connection
	closedByCore     bool // the core has closed its connection
	responses        int
	placed           bool
	endNotifications int // number of notifications of its end after it was placed
}

// discoverySource is the source of endpoint list updates.
const discoverySource = "discovery"

func connSource(conn ConnID) string { return fmt.Sprint("conn", conn) }
func linkSource(link LinkID) string { return fmt.Sprint("link", link) }

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	t.Helper()
	r := &randomRun{
		harness:     newHarness(t, func(c *Config) { c.MaxLinks = 6; c.NodeIdleTimeout = 4 * time.Second }),
		rng:         rand.New(rand.NewPCG(seed, 7)),
		nodes:       []string{"n0", "n1", "n2", "n3", "n4"},
		unread:      map[string][]Input{},
		openLinks:   map[LinkID]string{},
		submissions: map[string]*submission{},
		inactive:    map[string]bool{},
	}
	for _, node := range r.nodes {
		r.sendNodeState(node, flaxshelf.Active)
	}
	return r
}

// randomElement returns a random element of all.
func randomElement[T any](rng *rand.Rand, all []T) T { return all[rng.IntN(len(all))] }

// send queues an input of a source, for the core to read in a later step.
func (r *randomRun) send(source string, in Input) {
	if _, ok := r.unread[source]; !ok {
		r.sources = append(r.sources, source)
	}
	r.unread[source] = append(r.unread[source], in)
}

// sendNodeState queues an update of one node from the discovery service.
func (r *randomRun) sendNodeState(node string, state flaxshelf.MachineState) {
	r.send(discoverySource, nodeUpdated(machine(node, state, 0), node))
}

// randomEvent generates a random input, or none, of an owner, the discovery service or a link.
func (r *randomRun) randomEvent() {
	switch draw := r.rng.IntN(20); {
	case draw < 3 || len(r.openConns) == 0:
		r.openConn()
	case draw < 11:
		r.submitTask()
	case draw < 13 && r.lastTask > 0:
		conn, task := randomElement(r.rng, r.openConns), taskID(1+r.rng.IntN(r.lastTask))
		r.send(connSource(conn), randomElement(r.rng, []Input{Release{conn, task}, Migrated{conn, task}}))
	case draw < 14:
		i := r.rng.IntN(len(r.openConns))
		r.send(connSource(r.openConns[i]), OwnerDisconnected{r.openConns[i]})
		r.openConns = slices.Delete(r.openConns, i, i+1)
	case draw < 15:
		conn, node := randomElement(r.rng, r.openConns), randomElement(r.rng, r.nodes)
		r.send(connSource(conn), r.newAdopt(conn, node, 1_000_000+r.rng.IntN(50)))
	case draw < 16:
		node := randomElement(r.rng, r.nodes)
		r.sendNodeState(node, randomElement(r.rng, []flaxshelf.MachineState{
			flaxshelf.Active, flaxshelf.Active, flaxshelf.Draining, flaxshelf.Removed,
		}))
	case draw < 17:
		r.breakLink()
	}
}

// openConn opens an owner's connection.
func (r *randomRun) openConn() {
	r.lastConn++
	r.openConns = append(r.openConns, r.lastConn)
	r.send(connSource(r.lastConn), OwnerConnected{Conn: r.lastConn, Host: fmt.Sprint("h", r.rng.IntN(3))})
}

// submitTask submits a new task on a random connection.
func (r *randomRun) submitTask() {
	r.lastTask++
	conn := randomElement(r.rng, r.openConns)
	in := r.newSubmitOf(randomElement(r.rng, []int{classIdempotent, classKeyed}), conn, r.lastTask)
	in.Task.Service = fmt.Sprint("s", r.rng.IntN(4))
	in.Task.Deadline = r.now + time.Second
	r.submissions[in.Task.ID] = &submission{conn: conn, deadline: in.Task.Deadline}
	r.send(connSource(conn), in)
}

// breakLink breaks a random link, or none.
func (r *randomRun) breakLink() {
	for _, link := range slices.Sorted(maps.Keys(r.openLinks)) {
		if r.rng.IntN(4) == 0 {
			r.send(linkSource(link), LinkDown{Link: link, ConnectionRefused: r.rng.IntN(4) == 0})
			delete(r.openLinks, link)
			return
		}
	}
}

// readInputs removes and returns a random selection of the unread inputs, which the core reads in this step.
func (r *randomRun) readInputs() []Input {
	var inputs []Input
	for range r.rng.IntN(8) {
		if len(r.sources) == 0 {
			break
		}
		source := randomElement(r.rng, r.sources)
		if queue := r.unread[source]; len(queue) > 0 {
			inputs = append(inputs, queue[0])
			r.unread[source] = queue[1:]
			continue
		}
		delete(r.unread, source)
		r.sources = slices.DeleteFunc(r.sources, func(s string) bool { return s == source })
	}
	return inputs
}

// runStep steps the core, checks its effects and advances the clock.
func (r *randomRun) runStep() {
	r.t.Helper()
	inputs := r.readInputs()
	for _, in := range inputs { // updates that allow offers apply to this step, those that forbid them apply from the next one
		if update, ok := in.(NodesUpdated); ok && update.Endpoints[0].Machine.State == flaxshelf.Active {
			r.inactive[update.Endpoints[0].Machine.ID] = false
		}
	}
	r.step(inputs...)
	for _, effect := range r.effects {
		r.checkEffect(effect)
	}
	for _, in := range inputs {
		r.recordInput(in)
	}
	r.now += time.Duration(r.rng.IntN(40)) * time.Millisecond
}

// checkEffect checks an effect against the inputs that the core read before this step, and executes it.
func (r *randomRun) checkEffect(effect Effect) {
	r.t.Helper()
	switch effect := effect.(type) {
	case Offer:
		r.checkOffer(effect)
		r.respondToOffer(effect)
	case Accepted:
		r.checkAccepted(effect)
	case Terminated:
		r.checkTerminated(effect)
	case Dial:
		r.dial(effect)
	case CloseLink:
		delete(r.openLinks, effect.Link)
	case CloseOwner:
		r.closeConn(effect.Conn)
	}
}

func (r *randomRun) checkOffer(offer Offer) {
	r.t.Helper()
	submitted := r.submissions[offer.Task]
	if submitted.abandoned {
		r.t.Fatalf("%s: got an offer after its owner has abandoned it, want none", offer.Task)
	}
	if r.inactive[offer.Node] {
		r.t.Fatalf("%s: got an offer to %s, which is draining or removed, want none", offer.Task, offer.Node)
	}
	if submitted.responses > 0 {
		r.t.Fatalf("%s: got an offer after its response, want none", offer.Task)
	}
	// A link without a node has broken, but the core has not read its LinkDown.
	if node := r.openLinks[offer.Link]; node != offer.Node && node != "" {
		r.t.Fatalf("%s: got offer on link %d to %s, want a link to %s", offer.Task, offer.Link, node, offer.Node)
	}
}

func (r *randomRun) checkAccepted(accepted Accepted) {
	r.t.Helper()
	submitted := r.submissions[accepted.Task]
	submitted.responses++
	if submitted.responses > 1 || submitted.abandoned {
		r.t.Fatalf("%s: got response %d (abandoned before: %v), want one before it is abandoned", accepted.Task,
			submitted.responses, submitted.abandoned)
	}
	submitted.placed = true
}

func (r *randomRun) checkTerminated(terminated Terminated) {
	r.t.Helper()
	submitted := r.submissions[terminated.Task]
	switch {
	case submitted == nil: // it was adopted
	case submitted.placed:
		submitted.endNotifications++
		if submitted.endNotifications > 1 {
			r.t.Fatalf("%s: got %d notifications of its end, want 1", terminated.Task, submitted.endNotifications)
		}
	case terminated.Conn == submitted.conn:
		submitted.responses++
		if submitted.responses > 1 || terminated.Migrate || submitted.abandoned {
			r.t.Fatalf("%s: got response %d %+v, want one that is no migration, before it is abandoned", terminated.Task,
				submitted.responses, terminated)
		}
	}
}

// dial establishes a link or lets the dial fail.
func (r *randomRun) dial(dial Dial) {
	if r.rng.IntN(8) == 0 {
		r.send(linkSource(dial.Link), LinkDown{Link: dial.Link, ConnectionRefused: r.rng.IntN(3) == 0})
		return
	}
	r.openLinks[dial.Link] = dial.Node
	r.send(linkSource(dial.Link), LinkUp{dial.Link})
}

// closeConn records that the core has closed an owner's connection.
func (r *randomRun) closeConn(conn ConnID) {
	r.openConns = slices.DeleteFunc(r.openConns, func(open ConnID) bool { return open == conn })
	for _, submitted := range r.submissions {
		if submitted.conn == conn {
			submitted.closedByCore = true
			submitted.abandoned = true
		}
	}
}

// respondToOffer lets the node respond to an offer in a random way, or not at all.
func (r *randomRun) respondToOffer(offer Offer) {
	if r.openLinks[offer.Link] == "" {
		return
	}
	message := NodeMessage{Link: offer.Link, Task: offer.Task}
	send := func(kind NodeMessageKind, change func(*NodeMessage)) {
		message := message
		message.Kind = kind
		change(&message)
		r.send(linkSource(offer.Link), message)
	}
	switch r.rng.IntN(8) {
	case 0:
		send(NodeReleased, func(m *NodeMessage) { m.Cause, m.Reason = CauseRejected, flaxshelf.InsufficientCores })
	case 1:
		send(NodeReleased, func(m *NodeMessage) { m.Cause = CauseError })
	case 2: // no response
	case 3:
		r.send(linkSource(offer.Link), SendFailed{Link: offer.Link, Task: offer.Task, Attempt: offer.Attempt})
	default:
		send(NodeAccepted, func(m *NodeMessage) { m.Description = "d" })
		if r.rng.IntN(6) == 0 {
			send(NodeAccepted, func(m *NodeMessage) { m.Description = "again" })
		}
		for range r.rng.IntN(3) {
			send(NodeUsage, func(m *NodeMessage) { m.UsageKind, m.Amount = flaxshelf.ServiceLevel, r.rng.Float64() })
		}
		if r.rng.IntN(2) == 0 {
			send(NodeReleased, func(m *NodeMessage) { m.Cause = CauseNormal })
		}
	}
}

// recordInput records an input that the core has read in this step, for the checks of later steps.
func (r *randomRun) recordInput(in Input) {
	switch in := in.(type) {
	case Submit:
		r.submissions[in.Task.ID].readByCore = true
	case Release:
		r.recordAbandoned(in.Task)
	case Migrated:
		r.recordAbandoned(in.Task)
	case OwnerDisconnected:
		for task, submitted := range r.submissions {
			if submitted.conn == in.Conn {
				r.recordAbandoned(task)
			}
		}
	case NodesUpdated:
		for _, endpoint := range in.Endpoints {
			r.inactive[endpoint.Machine.ID] = endpoint.Machine.State != flaxshelf.Active
		}
	}
}

// recordAbandoned records that a task's owner has abandoned it. It does nothing before the core has read the task's Submit.
func (r *randomRun) recordAbandoned(task string) {
	if submitted := r.submissions[task]; submitted != nil && submitted.readByCore {
		submitted.abandoned = true
	}
}

// finish lets all requests reach their deadlines and checks that each has its response. It then disconnects all owners, removes
// all nodes and checks that the core is empty.
func (r *randomRun) finish() {
	r.t.Helper()
	for range 300 {
		r.runStep()
	}
	r.checkNoOverdueRequest()
	for _, conn := range r.openConns {
		r.send(connSource(conn), OwnerDisconnected{conn})
	}
	for _, node := range r.nodes {
		r.sendNodeState(node, flaxshelf.Removed)
	}
	for range 400 {
		r.runStep()
	}
	r.now += 10 * time.Second
	for range 4 {
		r.runStep()
	}
	r.checkEmpty()
}

// checkNoOverdueRequest checks that no request on an open connection is still pending.
func (r *randomRun) checkNoOverdueRequest() {
	r.t.Helper()
	for id, submitted := range r.submissions {
		if submitted.responses > 0 || submitted.closedByCore || !slices.Contains(r.openConns, submitted.conn) {
			continue
		}
		if t := r.core.tasks[id]; t != nil && t.pending {
			r.t.Errorf("%s: got no response %v after its deadline, want one", id, r.now-submitted.deadline)
		}
	}
}

// checkEmpty checks that the core has no connections, nodes, links or tasks left.
func (r *randomRun) checkEmpty() {
	r.t.Helper()
	stats := r.core.Stats()
	gauges := Stats{
		Pending:         stats.Pending,
		Running:         stats.Running,
		RunningUnlisted: stats.RunningUnlisted,
		Owners:          stats.Owners,
		Nodes:           stats.Nodes,
		Links:           stats.Links,
	}
	tasks, connections := len(r.core.tasks), r.core.admission.Len()
	if gauges != (Stats{}) || tasks != 0 || connections != 0 {
		r.t.Errorf("got %+v, %d tasks and %d connections, want gauges of 0 and none of either", stats, tasks, connections)
	}
}

// In any order of inputs, each request gets one response, no offer is made after its owner has abandoned it or its node has
// begun to drain, and the core keeps no state in the end.
func TestRandomInterleavings(t *testing.T) {
	for seed := range uint64(400) {
		passed := t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run := newRandomRun(t, seed)
			for range 400 {
				for range run.rng.IntN(3) {
					run.randomEvent()
				}
				run.runStep()
			}
			run.finish()
		})
		if !passed {
			t.FailNow()
		}
	}
}
