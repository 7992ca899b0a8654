package benchadapter

import (
	"encoding/base64"
	"strconv"
	"strings"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// outcomes are the outcomes of attempts and health checks by their numbers in the protocol.
var outcomes = map[string]flaxshelf.Outcome{
	"0": flaxshelf.Completed, "255": flaxshelf.Failed, "254": flaxshelf.Rejected, "253": flaxshelf.TimedOut,
	"252": flaxshelf.Unreachable, "251": flaxshelf.Lost, "250": flaxshelf.Canceled, "249": flaxshelf.NotSent,
}

// eventDecoders decode the messages that are one event each, by their names.
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

func decodeGossip(f *fields) flaxshelf.Event {
	blob := f.Text("blob")
	data, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(blob, noData))
	if err != nil {
		f.RecordError("blob", blob, "must be base64 or -")
	}
	return flaxshelf.GossipReceived{From: int(f.RequiredInteger("neighbour")), Data: data}
}

func decodeTaskCanceled(f *fields) flaxshelf.Event {
	return flaxshelf.TaskCanceled{Task: f.RequiredText("tid")}
}

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

// decodeLoad decodes a load report of name:value pairs: x0 for free cores, x1 for free memory. Other names are skipped.
func decodeLoad(f *fields) (load flaxshelf.LoadReport) {
	text := f.Text("load")
	if text == "" || text == noData {
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
