package benchadapter

import (
	"encoding/base64"
	"strconv"
	"strings"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// outcomes maps the numbers of the protocol to outcomes of attempts and health checks.
var outcomes = map[string]flaxshelf.Outcome{
	"0": flaxshelf.Completed, "255": flaxshelf.Failed, "254": flaxshelf.Rejected, "253": flaxshelf.TimedOut,
	"252": flaxshelf.Unreachable, "251": flaxshelf.Lost, "250": flaxshelf.Canceled, "249": flaxshelf.NotSent,
}

// eventDecoders has, by message name, the decoders of the messages that carry all fields of one event. VIEW, which refers to a
// machine list, is decoded by Reader.decodeView.
var eventDecoders = map[string]func(f *fields) flaxshelf.Event{
	"TO_PLACE":      decodeTaskSubmitted,
	"RUNNING":       decodeTaskAdopted,
	"SEATED":        decodeAttemptPlaced,
	"ATTEMPT_END":   decodeAttemptEnded,
	"STATUS_NOTE":   decodeUsageReport,
	"HEALTH_RESULT": decodeHealthChecked,
	"INBOX":         decodeGossip,
	"WAKEUP":        func(*fields) flaxshelf.Event { return flaxshelf.TimerFired{} },
	"ABORTED":       decodeTaskCanceled,
}

func decodeTaskSubmitted(f *fields) flaxshelf.Event {
	return flaxshelf.TaskSubmitted{Task: decodeTask(f)}
}

func decodeTaskAdopted(f *fields) flaxshelf.Event {
	return flaxshelf.TaskAdopted{Task: decodeTask(f), Machine: f.RequiredText("node")}
}

func decodeAttemptPlaced(f *fields) flaxshelf.Event {
	return flaxshelf.AttemptPlaced{Task: f.RequiredText("tid"), Machine: f.Text("node"),
		Attempt: int(f.Integer("leg")), Latency: f.Duration("lag_ns")}
}

func decodeAttemptEnded(f *fields) flaxshelf.Event {
	return flaxshelf.AttemptEnded{Task: f.RequiredText("tid"), Machine: f.Text("node"),
		Attempt: int(f.Integer("leg")), Outcome: textfields.Enum(&f.Fields, "verdict", outcomes, flaxshelf.Lost),
		Reason: flaxshelf.Reason(f.Integer("remark")), Final: f.Boolean("finished"),
		Latency: f.Duration("lag_ns"), Load: decodeLoad(f)}
}

func decodeUsageReport(f *fields) flaxshelf.Event {
	return flaxshelf.UsageReport{Task: f.RequiredText("tid"), Machine: f.Text("node"),
		Attempt: int(f.Integer("leg")), Kind: flaxshelf.UsageKind(f.RequiredInteger("kind")),
		Amount: f.Number("amount")}
}

func decodeHealthChecked(f *fields) flaxshelf.Event {
	return flaxshelf.HealthChecked{Machine: f.RequiredText("node"),
		Outcome: textfields.Enum(&f.Fields, "verdict", outcomes, flaxshelf.Lost), Load: decodeLoad(f)}
}

// decodeGossip decodes an INBOX message, whose data is in base64.
func decodeGossip(f *fields) flaxshelf.Event {
	blob := f.Text("blob")
	data, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(blob, emptyValue))
	if err != nil {
		f.RecordError("blob", blob, "must be base64 or -")
	}
	return flaxshelf.GossipReceived{From: int(f.RequiredInteger("neighbour")), Data: data}
}

func decodeTaskCanceled(f *fields) flaxshelf.Event {
	return flaxshelf.TaskCanceled{Task: f.RequiredText("tid")}
}

// decodeTask decodes the fields of a task, which TO_PLACE and RUNNING have. The class is named by the field priority.
func decodeTask(f *fields) flaxshelf.Task {
	task := flaxshelf.Task{
		ID: f.RequiredText("tid"), Key: f.Text("uid"), Service: f.Text("owner_set"),
		Cores: f.Number("cores"), Memory: f.Number("ram_units"),
		ExpectedRuntime: f.Duration("time_to_run_ns"), Deadline: f.RequiredDuration("valid_until_ns"),
		Retry: f.Boolean("again"), Tenant: f.names.Tenant(f.Text("client_group")),
	}
	className := f.RequiredText("priority")
	class, ok := f.names.Class(className)
	if !ok {
		f.RecordError("priority", className, "must be the name of a class")
	}
	task.Class = class
	return task
}

// decodeLoad decodes the field load, a list of name:number pairs separated by commas: x0 is the number of free cores, x1 the free
// memory. Pairs with other names are skipped.
func decodeLoad(f *fields) (load flaxshelf.LoadReport) {
	text := f.Text("load")
	if text == "" || text == emptyValue {
		return load
	}
	load.Present = true
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		amount, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.RecordError("load", text, "must be name:number pairs")
			return load
		}
		switch name {
		case "x0":
			load.FreeCores, load.HasCores = amount, true
		case "x1":
			load.FreeMemory, load.HasMemory = amount, true
		}
	}
	return load
}
