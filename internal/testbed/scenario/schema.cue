
// #Trial is a scripted day: a fleet of nodes, loads, and faults at given times. Times are in seconds since the start of the day.
#Trial: {
	about:   string
	seconds: *10 | (number & >0 & <=3600)
	// Time after the loads to wait for unfinished tasks, in seconds.
	after: *7 | (number & >=0)
	schedulers: *3 | (int & >=1 & <=1000)
	cores:      *1 | (int & >=1 & <=64) // core shards of each scheduler
	kinds: [#Kind, ...#Kind]
	classes: [#Class, ...#Class]
	tenants:   *[] | [...#Tenant]
	rules:     #Rules
	limits:    #Limits
	behaviour: #Behaviour
	// Simulated processing time of each step of a scheduler's core, and of each input of a step, in the emulator.
	cpu: {step: *"0s" | #Duration, input: *"0s" | #Duration}
	late:      *"100ms" | #Duration
	goneAfter: *"300ms" | #Duration
	listsFree: *false | bool
	runsWhenPlaced: *false | bool
	fleet: [#Group, ...#Group]
	load: [...#Load]
	troubles: [...#Trouble]
}

// #Group is a number of identical nodes in one zone. Their names are that of the group followed by a number from 0.
#Group: {
	name:  #Name
	count: int & >=1
	kind:  #Name
	zone:  #Name
	cell:  *0 | (int & >=0)
	warm:  *true | bool
}

// #Load is an open-loop stream of submissions of one class: its rate does not depend on their outcomes.
#Load: {
	class:     #Name
	perSecond: number & >0
	from:      *0 | (number & >=0)
	to:        *0 | (number & >=0) // 0 means the end of the day
	services:  *10 | (int & >=1)
	life:      *["1s", "4s"] | [#Duration, #Duration]
	cores:     *0 | number // 0 means that of the class; likewise for memory
	memory:    *0 | number
	rerunnable: *false | bool
	tenant:    *"" | #Name
	// Fractions of the jobs that clients terminate, or hold and release, soon after the submission.
	terminate: *0 | (number & >=0 & <=1)
	hold:      *0 | (number & >=0 & <=1)
	// A client resubmits a job that was rejected or failed after a mean delay of `retry`, until `patience` has passed since the
	// first submission. A `retry` of 0 means no retries. Only the emulator's clients retry.
	retry:    *"0s" | #Duration
	patience: *"0s" | #Duration
}

// #Trouble is a fault of nodes, schedulers, connections, the inventory or clients. It begins at `at` and lasts `for` seconds.
#Trouble: {
	at:  number & >=0
	for: *0 | (number & >=0)
	do:  "fail-starts" | "silent" | "swell" | "crowd" | "drop-programs" | // faults of running nodes
		"drain" | "deploy" | "lose" | "restart" | "shrink" | // drains, stops and restarts of nodes
		"stop-scheduler" | "kill-scheduler" | "term-scheduler" |
		"burst" | "hot-service" |
		"cut" | "cut-reply" | "half-open" | "delay" | "stall" | // faults of the connections to nodes
		"inventory-fails" | "inventory-stale" | "inventory-cut" |
		"client-cut" | "rude-clients"
	// The affected nodes: a fraction `share` of the nodes of the zone, or of all nodes if it is empty. The seed determines which.
	zone:  *"" | #Name
	share: *1 | (number & >=0 & <=1)
	// The indices of the affected schedulers; by default the first.
	schedulers: *[0] | [...(int & >=0)]
	class:  *"" | "*" | #Name
	factor: *1 | (number & >=0)
}

// #Town is the base of most days: twelve nodes of two kinds in three zones, three schedulers, and one class for each
// idempotency: idempotent, idempotent by key within a zone, and non-idempotent.
#Town: #Trial & {
	kinds: [{name: "medium", cores: 24, memory: 96}, {name: "large", cores: 48, memory: 192}]
	classes: [
		{name: "sensor", effect: "safe", aim: "600ms", giveup: "3s", worth: 3, cores: 0.5, memory: 1, spread: "zone", most: 4},
		{name: "simulation", effect: "keyed", group: "zone", window: "5s", aim: "3s", giveup: "5s", priority: 1, worth: 9, cores: 6, memory: 12},
		{name: "ledger", effect: "unsafe", aim: "3s", giveup: "4s", worth: 2, cores: 1, memory: 2},
	]
	rules: {acceptCores: 1.5, acceptMemory: 1.5, drainGrace: "1s", settle: "2s", coldFor: "5s", fallWindow: "2s", coldOffers: 24}
	fleet: *[
		{name: "a", count: 4, kind: "medium", zone: "room-a", cell: 0},
		{name: "b", count: 4, kind: "large", zone: "room-b", cell: 1},
		{name: "c", count: 4, kind: "medium", zone: "room-c", cell: 2},
	] | [...]
	load: *[
		{class: "sensor", perSecond: 60, services: 80, life: ["500ms", "3s"], rerunnable: true, terminate: 0.02, hold: 0.03},
		{class: "simulation", perSecond: 4, services: 6, life: ["1s", "4s"], rerunnable: true, terminate: 0.02, hold: 0.03},
		{class: "ledger", perSecond: 8, services: 8, life: ["500ms", "3s"], terminate: 0.05, hold: 0.05},
	] | [...]
}
