package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
)

// TestRandomSimulationsPreserveInvariants checks these invariants in random simulations:
//
//   - Every placement request has one outcome.
//   - No job is offered while another offer of it is open or it runs.
//   - A job that must run at most once is offered again only after proof that it did not run.
//   - A job that is idempotent by key and may have run is not offered in another zone.
//   - Nothing is offered to a draining node, to a node without a connection or while a sync after a stall is unanswered.
//   - The core's counts of requests and jobs are correct.
//   - Equal inputs give equal outputs.
func TestRandomSimulationsPreserveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.step(NodesUpdated{Complete: true, Machines: s.machines()}, NodeConnected{Node: "n1"}, NodeConnected{Node: "n2"})
		s.connected["n1"], s.connected["n2"] = true, true
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.randomAction()
		}
		s.checkAllRequestsClosed()
	})
}

var nodeNames = []string{"n1", "n2", "n3"}

// simulation simulates nodes and owners. They send inputs that the protocols allow in random order, and the simulation checks
// the core's effects.
type simulation struct {
	t             *rapid.T
	core          *Core
	replica       *Core // receives the same inputs and must have the same outputs
	now           Time
	nextStep      Time            // of the core
	draining      map[string]bool // by node, as in the last endpoint list
	connected     map[string]bool // by node
	offers        []*sentOffer
	offerByID     map[string]*sentOffer
	jobs          []string
	outcomes      map[string]PlacementOutcome // by job ID and number of the placement request, as JOB#NUMBER
	syncToken     uint64                      // of the sync that discovery has not answered; zero means none
	syncStartedAt Time                        // start of that sync
	stalled       bool                        // advance omits the steps that the core requests
}

// sentOffer is an offer that the core has sent.
type sentOffer struct {
	SendOffer
	sentAt       Time
	closed       bool // rejected, failed, ended or stopped, or its node disconnected before accepting it
	provenNotRun bool // the node rejected the offer while it was open
	accepted     bool
	ended        bool
}

func newSimulation(t *rapid.T) *simulation {
	t.Helper()
	cfg := testConfig()
	cfg.Limits.MaxPending = 20
	return &simulation{
		t:         t,
		core:      newTestCore(t, cfg),
		replica:   newTestCore(t, cfg),
		now:       time.Second,
		draining:  map[string]bool{},
		connected: map[string]bool{},
		offerByID: map[string]*sentOffer{},
		outcomes:  map[string]PlacementOutcome{},
	}
}

func (s *simulation) machines() []flaxshelf.Machine {
	var all []flaxshelf.Machine
	for i, name := range nodeNames {
		machine := flaxshelf.Machine{ID: name, Zone: []string{"a", "a", "b"}[i]}
		if s.draining[name] {
			machine.State = flaxshelf.Draining
		}
		all = append(all, machine)
	}
	return all
}

// drawIndex draws a number from 0 to n-1.
func (s *simulation) drawIndex(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(s.t, label)
}

// drawOneIn draws true with a probability of 1/n.
func (s *simulation) drawOneIn(n int, label string) bool { return s.drawIndex(n, label) == 0 }

func (s *simulation) randomAction() {
	node := nodeNames[s.drawIndex(len(nodeNames), "node")]
	switch s.drawIndex(16, "act") {
	case 0, 1, 2:
		s.submitRandomJob()
	case 3, 4, 5, 6:
		s.replyToRandomOffer()
	case 7:
		s.disconnect(node)
	case 8:
		s.connect(node)
	case 9:
		s.draining[node] = !s.draining[node]
		s.step(NodesUpdated{Machines: s.machines()})
	case 10, 11:
		s.commandRandomJob()
	case 12:
		s.stallProcess()
	case 13:
		s.step(DiscoverySynced{s.syncToken})
	case 14:
		s.step(DiscoveryFailed{})
	default:
		s.advance(time.Duration(s.drawIndex(700, "pause")) * time.Millisecond)
	}
}

func (s *simulation) submitRandomJob() {
	s.step(Submit{RequestID: 1, Spec: JobSpec{
		Key:        fmt.Sprint("k", s.drawIndex(30, "key")),
		Class:      s.drawIndex(4, "class"),
		Tenant:     -1,
		Service:    fmt.Sprint(s.drawIndex(2, "service")),
		Cores:      1,
		Memory:     1,
		Rerunnable: s.drawOneIn(2, "rerunnable"),
		Hold:       s.drawOneIn(8, "hold"),
		Retry:      s.drawOneIn(4, "retry"),
	}})
}

func (s *simulation) replyToRandomOffer() {
	if len(s.offers) > 0 {
		s.replyTo(s.offers[s.drawIndex(len(s.offers), "offer")], s.drawIndex(7, "reply"))
	}
}

func (s *simulation) disconnect(node string) {
	s.connected[node] = false
	s.closeUnacceptedOffers(node)
	s.step(NodeDisconnected{Node: node})
}

func (s *simulation) connect(node string) {
	s.connected[node] = true
	s.closeUnacceptedOffers(node) // a node drops the offers of a former connection
	up := NodeConnected{Node: node}
	for _, offer := range s.offers {
		if offer.Node == node && offer.accepted && !offer.ended {
			up.Accepted = append(up.Accepted, ReportedAttempt{Attempt: offer.Attempt, Job: offer.Job,
				PlacementRequest: offer.PlacementRequest, Spec: *offer.Spec})
		}
	}
	s.step(up)
}

func (s *simulation) closeUnacceptedOffers(node string) {
	for _, offer := range s.offers {
		if offer.Node == node && !offer.accepted {
			offer.closed = true
		}
	}
}

func (s *simulation) commandRandomJob() {
	if len(s.jobs) == 0 {
		return
	}
	verbs := []Verb{Hold, Release, Terminate, Hold, Release, Reap}
	verb := verbs[s.drawIndex(len(verbs), "verb")]
	s.step(Command{RequestID: 2, Verb: verb, Job: s.jobs[s.drawIndex(len(s.jobs), "job")]})
}

func (s *simulation) stallProcess() {
	s.stalled = true
	s.advance(time.Duration(s.drawIndex(3000, "stall")) * time.Millisecond)
	s.stalled = false
	s.step()
}

// replyTo sends a reply to an offer, which may have been answered or have ended already. kind selects the reply: 0 to 2
// accept, 3 reject, 4 failed start, 5 started, 6 end of the attempt by completion.
func (s *simulation) replyTo(offer *sentOffer, kind int) {
	if !s.connected[offer.Node] {
		return
	}
	switch kind {
	case 0, 1, 2:
		s.acceptOffer(offer)
	case 3:
		s.rejectOffer(offer)
	case 4:
		s.failOffer(offer)
	case 5:
		if offer.accepted && !offer.ended {
			s.step(AttemptStarted{Node: offer.Node, Attempt: offer.Attempt})
		}
	default:
		s.end(offer, EndKind(kind%3))
	}
}

func (s *simulation) acceptOffer(offer *sentOffer) {
	if offer.provenNotRun || offer.ended {
		return
	}
	offer.accepted = true
	s.step(AttemptAccepted{Node: offer.Node, Attempt: offer.Attempt})
}

func (s *simulation) rejectOffer(offer *sentOffer) {
	if offer.accepted {
		return
	}
	if !offer.closed {
		offer.provenNotRun = true
	}
	offer.closed = true
	s.step(AttemptRejected{Node: offer.Node, Attempt: offer.Attempt, Reason: flaxshelf.InsufficientMemory})
}

func (s *simulation) failOffer(offer *sentOffer) {
	if offer.accepted {
		return
	}
	offer.closed = true
	s.step(AttemptFailed{Node: offer.Node, Attempt: offer.Attempt})
}

func (s *simulation) end(offer *sentOffer, end EndKind) {
	if !offer.accepted || offer.ended {
		return
	}
	offer.ended, offer.closed = true, true
	s.step(AttemptEnded{Node: offer.Node, Attempt: offer.Attempt, End: end, Reason: flaxshelf.Evicted})
}

func (s *simulation) advance(d time.Duration) {
	until := s.now + d
	for !s.stalled && s.nextStep > 0 && s.nextStep < until {
		s.now = max(s.nextStep, s.now+1)
		s.step()
	}
	s.now = until
	s.step()
}

// step steps the core and its replica and checks their outputs.
func (s *simulation) step(inputs ...Input) {
	s.trackSyncEnd(inputs)
	out := s.core.Step(s.now, inputs)
	if replicated := s.replica.Step(s.now, inputs); outputText(out) != outputText(replicated) {
		s.t.Fatalf("outputs of equal inputs differ:\n%s\n%s", outputText(out), outputText(replicated))
	}
	s.nextStep = out.NextStep
	if s.nextStep < s.now || s.nextStep > s.now+s.core.cfg.Limits.StallThreshold {
		s.t.Fatalf("at %v the next step is at %v, want between now and the stall threshold", s.now, s.nextStep)
	}
	for _, effect := range out.Effects {
		s.checkEffect(effect)
	}
	s.checkCounts()
}

// trackSyncEnd records that the sync of discovery ends, by its timeout or by an input.
func (s *simulation) trackSyncEnd(inputs []Input) {
	if s.syncToken > 0 && s.now-s.syncStartedAt >= s.core.syncTimeout() {
		s.syncToken = 0
	}
	for _, in := range inputs {
		switch in := in.(type) {
		case DiscoverySynced:
			if in.Token == s.syncToken {
				s.syncToken = 0
			}
		case DiscoveryFailed:
			s.syncToken = 0
		}
	}
}

func outputText(out Output) string {
	var b strings.Builder
	for _, effect := range out.Effects {
		b.WriteString(effectText(effect, true) + "\n")
	}
	return b.String()
}

func (s *simulation) checkEffect(effect Effect) {
	switch effect := effect.(type) {
	case SyncDiscovery:
		s.syncToken, s.syncStartedAt = effect.Token, s.now
	case Answer:
		if effect.Err == nil && effect.RequestID == 1 && !effect.Existing {
			s.jobs = append(s.jobs, effect.Jobs[0].ID)
		}
	case SendStop:
		if offer := s.offerByID[effect.Attempt]; offer != nil {
			offer.closed = true
		}
	case LogOutcome:
		if !effect.Job.State.Ended() {
			s.checkOutcome(effect.Job)
		}
	case SendOffer:
		s.checkOffer(effect)
	}
}

func (s *simulation) checkOutcome(info JobInfo) {
	request := fmt.Sprint(info.ID, "#", info.PlacementRequest)
	if former, ok := s.outcomes[request]; ok {
		s.t.Fatalf("%s: got outcome %s after outcome %s, want one outcome", request, info.Outcome, former)
	}
	s.outcomes[request] = info.Outcome
}

func (s *simulation) checkOffer(sent SendOffer) {
	switch {
	case s.draining[sent.Node]:
		s.t.Fatalf("%s is offered to %s, which is draining", sent.Attempt, sent.Node)
	case !s.connected[sent.Node]:
		s.t.Fatalf("%s is offered to %s, which is not connected", sent.Attempt, sent.Node)
	case s.syncToken > 0:
		s.t.Fatalf("%s is offered at %v though the sync after the stall of %v is not answered", sent.Attempt, s.now,
			s.syncStartedAt)
	case s.offerByID[sent.Attempt] != nil:
		s.t.Fatalf("%s is offered twice", sent.Attempt)
	}
	for _, former := range s.offers {
		if former.Job == sent.Job {
			s.checkRepeatedOffer(former, sent)
		}
	}
	offer := &sentOffer{SendOffer: sent, sentAt: s.now}
	s.offers, s.offerByID[sent.Attempt] = append(s.offers, offer), offer
}

// checkRepeatedOffer checks that a job may be offered after an earlier offer of it.
func (s *simulation) checkRepeatedOffer(former *sentOffer, sent SendOffer) {
	if !former.closed && s.now < former.sentAt+former.ValidFor {
		s.t.Fatalf("%s is offered while %s is in flight or runs", sent.Attempt, former.Attempt)
	}
	if former.PlacementRequest != sent.PlacementRequest || former.provenNotRun {
		return
	}
	inOtherZone := (former.Node == "n3") != (sent.Node == "n3")
	switch class := s.core.cfg.Module.Classes[sent.Spec.Class]; {
	case class.Idempotency == flaxshelf.NonIdempotent:
		s.t.Fatalf("not idempotent: %s is offered though %s may have run", sent.Attempt, former.Attempt)
	case class.Idempotency == flaxshelf.IdempotentByKey && inOtherZone:
		s.t.Fatalf("idempotent by key: %s is offered to %s though %s at %s may have run", sent.Attempt, sent.Node,
			former.Attempt, former.Node)
	}
}

// checkCounts compares the core's counts of requests and jobs with its jobs.
func (s *simulation) checkCounts() {
	open, unfinished, ended := 0, 0, 0
	for id, job := range s.core.jobs {
		if id != job.id {
			continue
		}
		if job.requestOpen {
			open++
		}
		if job.state.Ended() {
			ended++
			if job.requestOpen {
				s.t.Fatalf("%s has ended with an open placement request", id)
			}
		} else {
			unfinished++
		}
	}
	got := [3]int{s.core.openRequests, s.core.unfinishedJobs, s.core.endedJobCount}
	if want := [3]int{open, unfinished, ended}; got != want {
		s.t.Fatalf("counts of open requests, unfinished jobs, ended jobs: got %v, want %v", got, want)
	}
}

// checkAllRequestsClosed advances the time without messages. No overdue placement request may be open then.
func (s *simulation) checkAllRequestsClosed() {
	s.step(DiscoverySynced{s.syncToken})
	for range 200 {
		s.now = max(s.nextStep, s.now+time.Millisecond)
		s.step()
	}
	s.advance(9 * time.Second)
	for id, job := range s.core.jobs {
		if job.requestOpen && s.now > job.placementDeadline+s.core.cfg.Module.AnswerSlack {
			s.t.Fatalf("%s: its placement request was due at %v and is open at %v: %s/%s",
				id, job.placementDeadline, s.now, job.state, job.subState)
		}
	}
}
