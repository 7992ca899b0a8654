package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
)

// scriptLine is one input of a script. It consists of a command, arguments and options, such as `submit unsafe key=k`,
// `list n1 n2:draining` or `up n1 started=3s running=ATTEMPT`.
type scriptLine struct {
	t         *testing.T
	text      string
	command   string
	requestID uint64
	args      []string
	options   map[string]string
}

// inputParsers maps each command to its parser.
var inputParsers = map[string]func(*scriptLine) Input{
	"submit":           func(l *scriptLine) Input { return Submit{RequestID: l.requestID, Spec: l.spec(l.argument(0))} },
	"array":            parseArray,
	"hold":             parseCommand,
	"release":          parseCommand,
	"terminate":        parseCommand,
	"reap":             parseCommand,
	"query":            parseQuery,
	"session":          parseSessionCommand,
	"machines":         func(l *scriptLine) Input { return Machines{RequestID: l.requestID} },
	"watch":            parseWatch,
	"unwatch":          func(l *scriptLine) Input { return Unwatch{Stream: l.numericArgument(0)} },
	"list":             func(l *scriptLine) Input { return l.nodesUpdated(true) },
	"change":           func(l *scriptLine) Input { return l.nodesUpdated(false) },
	"discovery-failed": func(*scriptLine) Input { return DiscoveryFailed{} },
	"discovery-synced": func(l *scriptLine) Input { return DiscoverySynced{Token: l.numericArgument(0)} },
	"node-synced":      func(l *scriptLine) Input { return NodeSynced{Node: l.argument(0), Token: l.numericArgument(1)} },
	"up":               parseNodeConnected,
	"down":             func(l *scriptLine) Input { return NodeDisconnected{Node: l.argument(0)} },
	"accept":           func(l *scriptLine) Input { return AttemptAccepted{Node: l.argument(0), Attempt: l.argument(1)} },
	"reject":           parseAttemptRejected,
	"fail":             parseAttemptFailed,
	"started":          func(l *scriptLine) Input { return AttemptStarted{Node: l.argument(0), Attempt: l.argument(1)} },
	"send-failed":      func(l *scriptLine) Input { return SendFailed{Node: l.argument(0), Attempt: l.argument(1)} },
	"ended":            parseAttemptEnded,
	"drain":            func(*scriptLine) Input { return Drain{} },
}

func parseInput(t *testing.T, text string, requestID uint64) Input {
	t.Helper()
	words := strings.Fields(text)
	line := &scriptLine{t: t, text: text, command: words[0], requestID: requestID, options: map[string]string{}}
	for _, word := range words[1:] {
		if name, value, ok := strings.Cut(word, "="); ok {
			line.options[name] = value
		} else {
			line.args = append(line.args, word)
		}
	}
	parse := inputParsers[line.command]
	if parse == nil {
		t.Fatalf("unknown input %q", text)
	}
	return parse(line)
}

func (l *scriptLine) argument(i int) string {
	l.t.Helper()
	if i >= len(l.args) {
		l.t.Fatalf("%q: argument %d is missing", l.text, i+1)
	}
	return l.args[i]
}

func (l *scriptLine) numericArgument(i int) uint64 {
	l.t.Helper()
	n, err := strconv.ParseUint(l.argument(i), 10, 64)
	if err != nil {
		l.t.Fatalf("%q: %v", l.text, err)
	}
	return n
}

// intOption returns the value of an option, or 0 if it is not set.
func (l *scriptLine) intOption(name string) int {
	l.t.Helper()
	if l.options[name] == "" {
		return 0
	}
	return parseInt(l.t, l.options[name])
}

// timeOption returns the value of an option, or 0 if it is not set.
func (l *scriptLine) timeOption(name string) Time {
	l.t.Helper()
	if l.options[name] == "" {
		return 0
	}
	return parseTime(l.t, l.options[name])
}

// spec returns a job with the options of the line. Its class is one of testConfig, or -1 if testConfig does not have it.
func (l *scriptLine) spec(class string) JobSpec {
	l.t.Helper()
	isClass := func(c flaxshelf.TaskClass) bool { return c.Name == class }
	return JobSpec{
		Key:        l.options["key"],
		Session:    l.options["session"],
		Service:    l.options["service"],
		Class:      slices.IndexFunc(testConfig().Module.Classes, isClass),
		Tenant:     -1,
		Cores:      1,
		Memory:     1,
		Rerunnable: l.options["rerunnable"] != "",
		Hold:       l.options["hold"] != "",
		Retry:      l.options["retry"] != "",
		NotBefore:  l.timeOption("start"),
		Deadline:   l.timeOption("deadline"),
	}
}

func parseArray(l *scriptLine) Input {
	submit := Submit{RequestID: l.requestID, Spec: l.spec(l.argument(0)), MaxParallel: l.intOption("parallel")}
	for i := range parseInt(l.t, l.argument(1)) {
		submit.Indexes = append(submit.Indexes, i+1)
	}
	return submit
}

func parseCommand(l *scriptLine) Input {
	return Command{RequestID: l.requestID, Verb: Verb(l.command), Job: l.argument(0)}
}

func parseQuery(l *scriptLine) Input {
	return Query{RequestID: l.requestID, Job: l.options["job"], Session: l.options["session"]}
}

func parseSessionCommand(l *scriptLine) Input {
	return SessionCommand{RequestID: l.requestID, Verb: Verb(l.argument(0)), Name: l.options["name"]}
}

func parseWatch(l *scriptLine) Input {
	return Watch{RequestID: l.requestID, Stream: l.requestID, Job: l.options["job"], Session: l.options["session"]}
}

// nodesUpdated parses node names, each with an optional state or start time: n1, n2:draining, n3:out (removed) or
// n4:3s. The zone of n1 and n2 is a, that of all others is b.
func (l *scriptLine) nodesUpdated(complete bool) NodesUpdated {
	l.t.Helper()
	update := NodesUpdated{Complete: complete}
	for _, arg := range l.args {
		name, state, _ := strings.Cut(arg, ":")
		machine := flaxshelf.Machine{ID: name, Zone: "b"}
		if name == "n1" || name == "n2" {
			machine.Zone = "a"
		}
		switch state {
		case "":
		case "draining":
			machine.State = flaxshelf.Draining
		case "out":
			machine.State = flaxshelf.Removed
		default:
			machine.Started = parseTime(l.t, state)
		}
		update.Machines = append(update.Machines, machine)
	}
	slices.SortFunc(update.Machines, func(a, b flaxshelf.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return update
}

// parseNodeConnected parses the command up. The option running=ATTEMPT,ATTEMPT+ has the accepted attempts; a + marks an
// attempt that was started. The option ended=ATTEMPT,ATTEMPT has the ended attempts.
func parseNodeConnected(l *scriptLine) Input {
	up := NodeConnected{Node: l.argument(0), MayBeWarmingUp: l.options["may-be-cold"] != "", StartedAt: l.timeOption("started")}
	for _, reported := range l.listOption("running") {
		id, started := strings.CutSuffix(reported, "+")
		parts := strings.Split(id, "/")
		up.Accepted = append(up.Accepted, ReportedAttempt{Attempt: id, Job: parts[0], PlacementRequest: parseInt(l.t, parts[1]),
			Started: started, Spec: l.spec(l.options["class"])})
	}
	for _, ended := range l.listOption("ended") {
		up.Ended = append(up.Ended, AttemptEnded{Attempt: ended})
	}
	return up
}

// listOption returns the comma-separated values of an option, or none if it is not set.
func (l *scriptLine) listOption(option string) []string {
	return strings.FieldsFunc(l.options[option], func(r rune) bool { return r == ',' })
}

func parseAttemptRejected(l *scriptLine) Input {
	return AttemptRejected{Node: l.argument(0), Attempt: l.argument(1), Reason: flaxshelf.InsufficientCores}
}

func parseAttemptFailed(l *scriptLine) Input {
	return AttemptFailed{Node: l.argument(0), Attempt: l.argument(1), Message: "the start failed"}
}

// parseAttemptEnded parses the command ended. The option how=END says how the attempt ended; without it, it has completed.
// The option exit=STATUS sets the exit status, which is 0 if it is not set.
func parseAttemptEnded(l *scriptLine) Input {
	ended := AttemptEnded{Node: l.argument(0), Attempt: l.argument(1), ExitStatus: l.intOption("exit")}
	switch how := l.options["how"]; how {
	case "":
	case "evicted":
		ended.End, ended.Reason = EndLost, flaxshelf.Evicted
	case "drained-away":
		ended.End, ended.Reason = EndLost, flaxshelf.DrainedAway
	case "stopped":
		ended.End = EndStopped
	case "start-failed":
		ended.End = EndStartFailed
	default:
		l.t.Fatalf("%q: unknown end %q", l.text, how)
	}
	return ended
}
