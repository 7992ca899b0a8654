package scheduler

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"flaxshelf.example/flaxshelf"
)

// settingsForTests has three classes whose second start does no harm, is dropped in one zone for 5 s, or is
// never allowed; two kinds of node; a drain grace of 1 s and a settling time of 2 s.
func settingsForTests() Config {
	return Config{Name: "s", Seed: 1, Module: flaxshelf.Config{
		Schedulers: 1, MaxAttempts: 3, CanCancel: true, CoreOvercommit: 1, MemoryOvercommit: 1, DiscoveryOnRequest: true,
		Tick: 2 * time.Millisecond, ConnectTimeout: 250 * time.Millisecond, AnswerSlack: 100 * time.Millisecond,
		DrainGrace: time.Second, DiscoveryPollDeadline: 10 * time.Second, SlowStartDuration: 10 * time.Second,
		OverloadWindow: 2 * time.Second, SlowStartBudget: 4,
		Kinds: []flaxshelf.Kind{{Name: "small", Cores: 8, Memory: 32}},
		Classes: []flaxshelf.Class{
			{Name: "safe", Idempotency: flaxshelf.Idempotent, LatencyObjective: time.Second, Kind: -1},
			{Name: "keyed", Idempotency: flaxshelf.IdempotentByKey, KeyDomain: flaxshelf.ZoneDomain, KeyTTL: 5 * time.Second,
				LatencyObjective: time.Second, Kind: -1},
			{Name: "unsafe", Idempotency: flaxshelf.NonIdempotent, LatencyObjective: time.Second, Kind: -1},
			{Name: "spread", Idempotency: flaxshelf.Idempotent, LatencyObjective: time.Second, Kind: -1, SpreadDomain: flaxshelf.ZoneDomain, MaxPerDomain: 1},
		}},
		Limits: Limits{MaxPending: 4, MaxRunning: 100, MaxFinished: 3, MaxSessions: 2, Retention: time.Minute,
			SettleTime: 2 * time.Second, StallThreshold: 500 * time.Millisecond,
			PlacementTimeouts: []time.Duration{3 * time.Second, 8 * time.Second, 3 * time.Second, 3 * time.Second}}}
}

// TestScripts plays the stories of testdata. Each begins with `core`; `step` takes what came in at a time, a line
// each, and prints what the core asks of its host. Between two steps the core is woken as it asked, unless the
// story says stall. Run with -rewrite to write the transcripts anew.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "core":
				return s.core(t, d)
			case "step":
				return s.step(t, d)
			}
			d.Fatalf(t, "no command %s", d.Cmd)
			return ""
		})
	})
}

type script struct {
	c    *Core
	now  Time
	wake Time
	req  uint64
}

// core makes a new core: open=N changes the bound on open jobs; a boot tells a later life.
func (s *script) core(t *testing.T, d *datadriven.TestData) string {
	cfg := settingsForTests()
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "open":
			cfg.Limits.MaxPending, _ = strconv.Atoi(a.Vals[0])
		case "boot":
			cfg.StartedAt = dur(t, a.Vals[0])
		case "runs-when-placed":
			cfg.Module.PlacedWhenRunning = true
		}
	}
	c, err := New(cfg)
	if err != nil {
		return err.Error()
	}
	s.c, s.wake, s.req = c, 0, 0
	s.now = max(s.now, cfg.StartedAt)
	return ""
}

func (s *script) step(t *testing.T, d *datadriven.TestData) string {
	var at Time
	stall, all := false, false
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "stall":
			stall = true
		case "all":
			all = true
		default:
			at = dur(t, a.Key)
		}
	}
	var b strings.Builder
	for !stall && s.wake > 0 && s.wake < at && s.c.lastStepAt > 0 {
		s.out(&b, s.wake, s.c.Step(s.wake, nil), all)
	}
	var in []Input
	for _, line := range strings.Split(d.Input, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			in = append(in, s.input(t, line))
		}
	}
	s.out(&b, at, s.c.Step(at, in), all)
	return b.String()
}

// out prints effects; times only where something happened between the steps.
func (s *script) out(b *strings.Builder, at Time, o Output, all bool) {
	s.now, s.wake = at, max(o.Wake, at+time.Millisecond)
	for _, effect := range o.Effects {
		if line := text(effect, all); line != "" {
			fmt.Fprintf(b, "%v %s\n", at, line)
		}
	}
}

func text(effect Effect, all bool) string {
	switch e := effect.(type) {
	case SendOffer:
		return fmt.Sprintf("> %s offer %s for %v", e.Node, e.Attempt, e.ValidFor.Round(time.Millisecond))
	case SendStop:
		return fmt.Sprintf("> %s stop %s", e.Node, e.Attempt)
	case SendAck:
		return fmt.Sprintf("> %s ack %s", e.Node, e.Attempt)
	case SendHealthCheck:
		return fmt.Sprintf("> %s probe", e.Node)
	case Connect:
		return "connect " + e.Node
	case Disconnect:
		return "disconnect " + e.Node
	case SubscribeDiscovery:
		return "> inventory watch"
	case SyncDiscovery:
		return fmt.Sprintf("> inventory ping %d", e.Token)
	case SyncNode:
		return fmt.Sprintf("> %s ping %d", e.Node, e.Token)
	case Answer:
		if e.Err != nil {
			return fmt.Sprintf("answer %d: %v retry after %v", e.Req, e.Err, e.Err.RetryAfter.Round(time.Millisecond))
		}
		s := fmt.Sprintf("answer %d:", e.Req)
		if e.Existing {
			s += " existing"
		}
		if e.Array != "" {
			s += " array " + e.Array
		}
		for _, j := range e.Jobs {
			s += fmt.Sprintf(" %s %s/%s", j.ID, j.State, j.SubState)
		}
		for _, m := range e.Machines {
			s += fmt.Sprintf(" %s connected=%v jobs=%d", m.ID, m.Connected, m.Jobs)
		}
		return s + strings.Join(e.Sessions, " ")
	case Publish:
		if !all {
			return ""
		}
		return fmt.Sprintf("publish to %d: %s ask %d %s/%s %s", e.Stream, e.Info.ID, e.Info.Request, e.Info.State, e.Info.SubState,
			e.Info.Outcome)
	case LogOutcome:
		if e.Info.State.Ended() {
			return fmt.Sprintf("end %s %s/%s %s", e.Info.ID, e.Info.State, e.Info.SubState, e.Info.Reason)
		}
		return fmt.Sprintf("outcome %s ask %d %s", e.Info.ID, e.Info.Request, e.Info.Outcome)
	case Drained:
		return "drained"
	}
	return fmt.Sprintf("%#v", effect)
}

func dur(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatalf("%q: %v", s, err)
	}
	return d
}

// input reads a line as `submit unsafe key=k`, `list n1 n2:draining`, `up n1 started=3s held=ATTEMPT`.
func (s *script) input(t *testing.T, line string) Input {
	words := strings.Fields(line)
	args, opts := []string{}, map[string]string{}
	for _, w := range words[1:] {
		if k, v, ok := strings.Cut(w, "="); ok {
			opts[k] = v
		} else {
			args = append(args, w)
		}
	}
	arg := func(i int) string {
		if i >= len(args) {
			t.Fatalf("%q: argument %d is missing", line, i+1)
		}
		return args[i]
	}
	s.req++
	req := s.req
	switch words[0] {
	case "submit", "array":
		sub := Submit{Req: req, Spec: s.spec(t, arg(0), opts)}
		if words[0] == "array" {
			n, _ := strconv.Atoi(arg(1))
			for i := range n {
				sub.Indexes = append(sub.Indexes, i+1)
			}
			sub.MaxParallel, _ = strconv.Atoi(opts["parallel"])
		}
		return sub
	case "hold", "release", "terminate", "reap":
		return Command{Req: req, Verb: Verb(words[0]), Job: arg(0)}
	case "query":
		return Query{Req: req, Job: opts["job"], Session: opts["session"]}
	case "session":
		return SessionCommand{Req: req, Verb: Verb(arg(0)), Name: opts["name"]}
	case "machines":
		return Machines{Req: req}
	case "watch":
		return Watch{Req: req, Stream: req, Job: opts["job"], Session: opts["session"]}
	case "unwatch":
		n, _ := strconv.ParseUint(arg(0), 10, 64)
		return Unwatch{Stream: n}
	case "list", "change":
		return s.list(t, args, words[0] == "list")
	case "list-failed":
		return DiscoveryFailed{}
	case "synced":
		n, _ := strconv.ParseUint(arg(0), 10, 64)
		return DiscoverySynced{Token: n}
	case "node-synced":
		n, _ := strconv.ParseUint(arg(1), 10, 64)
		return NodeSynced{arg(0), n}
	case "up":
		return s.up(t, arg(0), opts)
	case "down":
		return NodeDown{Node: arg(0)}
	case "accept":
		return AttemptAccepted{Node: arg(0), Attempt: arg(1)}
	case "refuse":
		return AttemptRejected{Node: arg(0), Attempt: arg(1), Reason: flaxshelf.InsufficientCores}
	case "fail":
		return AttemptFailed{Node: arg(0), Attempt: arg(1), Message: "the start failed"}
	case "started":
		return AttemptStarted{Node: arg(0), Attempt: arg(1)}
	case "not-sent":
		return SendFailed{Node: arg(0), Attempt: arg(1)}
	case "ended":
		e := AttemptEnded{Node: arg(0), Attempt: arg(1)}
		e.Exit, _ = strconv.Atoi(opts["exit"])
		switch opts["how"] {
		case "evicted":
			e.End, e.Reason = EndLost, flaxshelf.Evicted
		case "sent-away":
			e.End, e.Reason = EndLost, flaxshelf.DrainedAway
		case "stopped":
			e.End = EndStopped
		case "broke":
			e.End = EndStartFailed
		}
		return e
	case "drain":
		return Drain{}
	}
	t.Fatalf("no input %q", line)
	return nil
}

func (s *script) spec(t *testing.T, class string, opts map[string]string) Spec {
	spec := Spec{Key: opts["key"], Session: opts["session"], Service: opts["service"], Class: -1, Tenant: -1,
		Cores: 1, Memory: 1, Rerunnable: opts["rerunnable"] != "", Hold: opts["hold"] != "", Retry: opts["again"] != ""}
	for i, c := range settingsForTests().Module.Classes {
		if c.Name == class {
			spec.Class = i
		}
	}
	for name, to := range map[string]*Time{"start": &spec.NotBefore, "deadline": &spec.Deadline} {
		if v := opts[name]; v != "" {
			*to = dur(t, v)
		}
	}
	return spec
}

// list reads names with their standing: n1, n2:draining, n3:out, n4:started=3s. Zones are a for n1 and n2, else b.
func (s *script) list(t *testing.T, names []string, whole bool) NodesUpdated {
	l := NodesUpdated{Complete: whole}
	for _, w := range names {
		name, how, _ := strings.Cut(w, ":")
		machine := flaxshelf.Machine{ID: name, Zone: "b"}
		if name == "n1" || name == "n2" {
			machine.Zone = "a"
		}
		switch {
		case how == "draining":
			machine.State = flaxshelf.Draining
		case how == "out":
			machine.State = flaxshelf.Removed
		case how != "":
			machine.Started = dur(t, how)
		}
		l.Machines = append(l.Machines, machine)
	}
	sort.Slice(l.Machines, func(i, j int) bool { return l.Machines[i].ID < l.Machines[j].ID })
	return l
}

func (s *script) up(t *testing.T, name string, opts map[string]string) NodeUp {
	u := NodeUp{Node: name, MayBeCold: opts["fresh"] != ""}
	if v := opts["started"]; v != "" {
		u.Started = dur(t, v)
	}
	for _, h := range strings.Split(opts["held"], ",") {
		if h == "" {
			continue
		}
		id, running := strings.CutSuffix(h, "+") // + for one that runs
		parts := strings.Split(id, "/")
		ask, _ := strconv.Atoi(parts[1])
		u.Running = append(u.Running, RunningAttempt{Attempt: id, Job: parts[0], Request: ask, Running: running,
			Spec: s.spec(t, opts["class"], opts)})
	}
	for _, e := range strings.Split(opts["ended"], ",") {
		if e != "" {
			u.Ended = append(u.Ended, AttemptEnded{Attempt: e})
		}
	}
	return u
}
