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
	// What a second start does: no harm, dropped by nodes of one group for a while, or never allowed.
	effect: *"unsafe" | "safe" | "keyed"
	// keyed: the group, and how long it drops repeats, from the first send.
	group:  *"zone" | #Extent | "everywhere"
	window: *"5s" | #Duration
	// A start within aim earns its full worth; after giveup the ask is over.
	aim:    *"1s" | #Duration
	giveup: *"30s" | #Duration
	worth:  *1 | (number & >=0)
	lateWorth: *0.1 | (number & >=0 & <=1)
	// Seconds of service that a start in time is worth.
	startSeconds: *10 | (number & >=0)
	// Served in full while cores are busy up to calm, not at all from calm+fade.
	calm: *1 | (number & >0)
	fade: *0.5 | (number & >=0)
	// Index or name of the kind of machine that it needs; empty: any.
	kind:     *"" | #Name
	priority: *0 | (int & >=0 & <=3)
	// At most `most` tasks of one service in one such place, for each scheduler.
	spread: *"" | #Extent
	most:   *1 | (int & >=1)
	// What a job asks for that does not say.
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
	acceptCores:  *1 | (number & >=1) // nodes accept until their tasks ask for this multiple
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
	maxFinished: *100000 | (int & >=1) // ended jobs kept for their owners
	maxSessions: *10000 | (int & >=1)
	retention:   *"1h" | #Duration
	connections: *10000 | (int & >=1) // of clients
	clientOut:   *4194304 | (int & >=65536) // bytes queued for a client that does not read
	nodeOut:     *16777216 | (int & >=65536)
	idle:        *"60s" | #Duration // a client that says nothing for so long is cut off
	request:     *"10s" | #Duration // a request must have come whole within
	stopWithin:  *"10s" | #Duration // SIGTERM: what is in flight has its outcome by then
}

#Scheduler: {
	name:       *"flaxshelf" | #Name
	listen:     *"127.0.0.1:7171" | #Address
	metrics:    *"" | #Address // Prometheus metrics, empty: none
	inventory:  #Address
	index:      *0 | (int & >=0)
	schedulers: *1 | (int & >=1)
	cores:      *1 | (int & >=1 & <=64) // that decide, each as a scheduler of its own to the module
	zone:       *"" | string
	seed:       *0 | (int & >=0) // 0: from the time of the start
	tick:       *"2ms" | #Duration // least time between two steps of the module
	connect:    *"250ms" | #Duration // a node must be connected within
	listsFree:  *false | bool // the inventory tells free cores and memory
	runsWhenPlaced: *false | bool // an ask has its outcome when the job runs, not when it is accepted
	overShareWorth: *1 | (number & >=0 & <=1)
	crossZone:      *0 | (number & >=0)
	fleetPrice:     *0 | (number & >=0)
	classes: [#Class, ...#Class]
	kinds: [#Kind, ...#Kind]
	tenants: *[] | [...#Tenant]
	rules:   #Rules
	limits:  #Limits
	log: *"info" | "debug" | "warn" | "error"
	tap: *"" | string // file for each step of the module, empty: none
}

#Node: {
	name:   #Name
	kind:   #Name
	zone:   *"" | string
	cell:   *0 | (int & >=0)
	listen: *"127.0.0.1:0" | #Address
	// Started long ago: not cold.
	warm: *true | bool
}

// #Behaviour is how the stand-in nodes behave.
#Behaviour: {
	look:           *"10ms" | #Duration // an ask is looked at for so long, one at a time
	maxWait:        *32 | (int & >=1) // asks that may wait for that
	startSlots:     *4 | (int & >=1)
	startWork:      *"50ms" | #Duration
	freshFactor:    *8 | (number & >=1) // a start takes so many times longer where the program is not kept
	keep:           *8 | (int & >=0)
	coldFrom:       *0.2 | (number & >0 & <=1)
	fallMultiple:   *4 | (number & >0)
	useCores:       *[0.3, 0.7] | [number, number]
	useMemory:      *[0.5, 0.9] | [number, number]
	noteEvery:      *"500ms" | #Duration
	reports:        *false | bool
	drainSendsAway: *"0s" | #Duration
	life:           *"20s" | #Duration // of a job that tells none
}

#Fleet: {
	inventory: *"127.0.0.1:0" | #Address
	late:      *"200ms" | #Duration // the inventory shows changes so late
	goneAfter: *"1s" | #Duration
	kinds: [#Kind, ...#Kind]
	nodes: [#Node, ...#Node]
	rules:     #Rules
	behaviour: #Behaviour
	seed:      *1 | int
	log: *"info" | "debug" | "warn" | "error"
}
