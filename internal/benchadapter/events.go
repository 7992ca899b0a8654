package benchadapter

import (
	"encoding/base64"
	"strconv"
	"strings"

	"flaxshelf.example/flaxshelf"
)

// outcomes are the outcomes of attempts and health checks by their numbers in the protocol.
var outcomes = map[string]flaxshelf.Outcome{
	"0": flaxshelf.Completed, "255": flaxshelf.Failed, "254": flaxshelf.Rejected, "253": flaxshelf.TimedOut,
	"252": flaxshelf.Unreachable, "251": flaxshelf.Lost, "250": flaxshelf.Canceled, "249": flaxshelf.NotSent,
}

// eventDecoders decode the lines that are one event each and need nothing but their own fields.
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
	return flaxshelf.TaskAdopted{Task: decodeTask(f), Machine: f.text("node", required)}
}

func decodeAttemptPlaced(f *fields) flaxshelf.Event {
	return flaxshelf.AttemptPlaced{Task: f.text("tid", required), Machine: f.text("node", optional),
		Attempt: int(f.integer("leg", optional)), Latency: f.duration("lag_ns", optional)}
}

func decodeAttemptEnded(f *fields) flaxshelf.Event {
	return flaxshelf.AttemptEnded{Task: f.text("tid", required), Machine: f.text("node", optional),
		Attempt: int(f.integer("leg", optional)), Outcome: lookup(f, "verdict", outcomes, flaxshelf.Lost),
		Reason: flaxshelf.Reason(f.integer("remark", optional)), Final: f.boolean("finished"),
		Latency: f.duration("lag_ns", optional), Load: decodeLoad(f)}
}

func decodeUsageReport(f *fields) flaxshelf.Event {
	return flaxshelf.UsageReport{Task: f.text("tid", required), Machine: f.text("node", optional),
		Attempt: int(f.integer("leg", optional)), Kind: flaxshelf.UsageKind(f.integer("kind", required)),
		Amount: f.number("amount")}
}

func decodeHealthChecked(f *fields) flaxshelf.Event {
	return flaxshelf.HealthChecked{Machine: f.text("node", required),
		Outcome: lookup(f, "verdict", outcomes, flaxshelf.Lost), Load: decodeLoad(f)}
}

func decodeGossip(f *fields) flaxshelf.Event {
	blob := f.text("blob", optional)
	data, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(blob, noData))
	if err != nil {
		f.fail("blob", blob)
	}
	return flaxshelf.GossipReceived{From: int(f.integer("neighbour", required)), Data: data}
}

func decodeTaskCanceled(f *fields) flaxshelf.Event {
	return flaxshelf.TaskCanceled{Task: f.text("tid", required)}
}

func decodeTask(f *fields) flaxshelf.Task {
	task := flaxshelf.Task{
		ID: f.text("tid", required), Key: f.text("uid", optional), Service: f.text("owner_set", optional),
		Cores: f.number("cores"), Memory: f.number("ram_units"),
		ExpectedRuntime: f.duration("time_to_run_ns", optional), Deadline: f.duration("valid_until_ns", required),
		Retry: f.boolean("again"), Tenant: -1,
	}
	className := f.text("priority", required)
	class, ok := f.names.Class[className]
	if !ok {
		f.fail("priority", className)
	}
	task.Class = class
	if tenant, ok := f.names.Tenant[f.text("client_group", optional)]; ok {
		task.Tenant = tenant
	}
	return task
}

// decodeLoad decodes a load report, which is written as name:value pairs: x0 for free cores, x1 for free memory. Other
// names are skipped.
func decodeLoad(f *fields) (load flaxshelf.LoadReport) {
	text := f.text("load", optional)
	if text == "" || text == noData {
		return load
	}
	load.Present = true
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		amount, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail("load", text)
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
