// The records of flaxshelf's configuration files. A file is a CUE document that must unify with one of them:
// #Scheduler for `flaxshelf serve`, #Fleet for `flaxshelf node` and `flaxshelf up`.
package flaxshelf

// #Duration is a Go duration: a number and a unit, as 250ms or 1m30s.
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$"

// #Name is a name without spaces.
#Name: =~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"

// #Address is host:port on which to listen or to which to connect.
#Address: =~"^[^ ]*:[0-9]{1,5}$"

#Extent: "machine" | "cell" | "zone"

#Class: {
	name: #Name
	// What a second start of the same job does: no harm (idempotent), dropped by the nodes of one group for a while
	// (idempotent-by-key), or not allowed (non-idempotent).
	// Deprecated, removed in 0.2.0: safe is idempotent, keyed is idempotent-by-key, unsafe is non-idempotent.
	effect: *"non-idempotent" | "idempotent" | "idempotent-by-key" | "safe" | "keyed" | "unsafe"
	// idempotent-by-key: the group of nodes that drops copies, and for how long after the first send.
	group:  *"zone" | #Extent | "everywhere"
	window: *"5s" | #Duration
	// A start within aim, the latency objective, has the full weight worth; after giveup the placement request ends.
	aim:    *"1s" | #Duration
	giveup: *"30s" | #Duration
	worth:  *1 | (number & >=0)
	lateWorth: *0.1 | (number & >=0 & <=1)
	// Seconds of service that a start within aim is worth.
	startSeconds: *10 | (number & >=0)
	// Served in full while cores are busy up to calm, not at all from calm+fade.
	calm: *1 | (number & >0)
	fade: *0.5 | (number & >=0)
	// Name of the kind of machine that a job requires; empty: any.
	kind:     *"" | #Name
	priority: *0 | (int & >=0 & <=3)
	// At most `most` tasks of one service in one topology domain, for each scheduler; empty: no limit.
	spread: *"" | #Extent
	most:   *1 | (int & >=1)
	// What a job requests that names neither.
	cores:  *1 | (number & >0)
	memory: *1 | (number & >0) // GiB
}

#Kind: {
	name:   #Name
	cores:  number & >0
	memory: number & >0 // GiB
}

#Tenant: {
	name:       #Name
	share:      *1 | (number & >0 & <=1)
	perSecond:  *0 | (number & >=0)
	quotaCores: *0 | (number & >=0)
}

// #Rules are the figures that schedulers, nodes and checkers of one deployment share.
#Rules: {
	acceptCores:  *1 | (number & >=1) // nodes accept until their tasks request this multiple of their cores
	acceptMemory: *1 | (number & >=1)
	preempts:     *true | bool
	drainGrace:   *"2s" | #Duration
	answerSlack:  *"500ms" | #Duration
	maxAttempts:  *3 | (int & >=1 & <=16)
	coldFor:      *"15s" | #Duration
	fallWindow:   *"3s" | #Duration
	coldOffers:   *20 | (number & >=1)
	settle:       *"3s" | #Duration
}

#Limits: {
	maxOpen:     *20000 | (int & >=1) // jobs without an outcome
	maxJobs:     *1000000 | (int & >=1)
	maxFinished: *100000 | (int & >=1) // ended jobs retained for their owners
	maxSessions: *10000 | (int & >=1)
	retention:   *"1h" | #Duration
	connections: *10000 | (int & >=1) // of clients
	clientOut:   *4194304 | (int & >=65536) // bytes queued for a client that does not read
	nodeOut:     *16777216 | (int & >=65536)
	idle:        *"60s" | #Duration // a client that sends nothing for so long is disconnected
	request:     *"10s" | #Duration // a request must be complete within
	stopWithin:  *"10s" | #Duration // graceful shutdown after SIGTERM: requests in flight have their outcome by then
}

#Scheduler: {
	name:       *"flaxshelf" | #Name
	listen:     *"127.0.0.1:7171" | #Address
	metrics:    *"" | #Address // Prometheus metrics, empty: none
	inventory:  #Address
	index:      *0 | (int & >=0)
	schedulers: *1 | (int & >=1)
	cores:      *1 | (int & >=1 & <=64) // shards that decide, each as a scheduler of its own to the module
	zone:       *"" | string
	seed:       *0 | (int & >=0) // 0: from the time of the start
	tick:       *"2ms" | #Duration // least time between two steps of the module
	connect:    *"250ms" | #Duration // a node must be connected within
	listsFree:  *false | bool // the inventory lists free cores and memory
	runsWhenPlaced: *false | bool // a placement request has its outcome when the job runs, not when a node accepts it
	overShareWorth: *1 | (number & >=0 & <=1)
	crossZone:      *0 | (number & >=0)
	fleetPrice:     *0 | (number & >=0)
	classes: [#Class, ...#Class]
	kinds: [#Kind, ...#Kind]
	tenants: *[] | [...#Tenant]
	rules:   #Rules
	limits:  #Limits
	log: *"info" | "debug" | "warn" | "error"
	moduleRecording: *"" | string // file to which each step of the module is recorded, empty: none
	tap: *"" | string // deprecated, removed in 0.2.0: use moduleRecording
}

#Node: {
	name:   #Name
	kind:   #Name
	zone:   *"" | string
	cell:   *0 | (int & >=0)
	listen: *"127.0.0.1:0" | #Address
	// Started long ago: past its slow start.
	warm: *true | bool
}

// #Behaviour is how the stand-in nodes behave.
#Behaviour: {
	look:           *"10ms" | #Duration // time to decide on an offer, one at a time
	maxWait:        *32 | (int & >=1) // offers that may wait for that
	startSlots:     *4 | (int & >=1)
	startWork:      *"50ms" | #Duration
	freshFactor:    *8 | (number & >=1) // a start takes so many times longer where the program is not cached
	keep:           *8 | (int & >=0)
	coldFrom:       *0.2 | (number & >0 & <=1)
	fallMultiple:   *4 | (number & >0)
	useCores:       *[0.3, 0.7] | [number, number]
	useMemory:      *[0.5, 0.9] | [number, number]
	noteEvery:      *"500ms" | #Duration
	reports:        *false | bool
	drainSendsAway: *"0s" | #Duration
	life:           *"20s" | #Duration // run time of a job that names none
}

#Fleet: {
	inventory: *"127.0.0.1:0" | #Address
	late:      *"200ms" | #Duration // time until the inventory shows a change
	goneAfter: *"1s" | #Duration
	kinds: [#Kind, ...#Kind]
	nodes: [#Node, ...#Node]
	rules:     #Rules
	behaviour: #Behaviour
	seed:      *1 | int
	log: *"info" | "debug" | "warn" | "error"
}
