// The records of flaxshelf's configuration files. A file is a CUE document that must unify with one of them:
// #Scheduler for `flaxshelf serve`, #Fleet for `flaxshelf node` and `flaxshelf up`.
package flaxshelf

// #Duration is a duration in Go's syntax: numbers with units, such as 250ms or 1m30s.
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$"

// #Name is a name without spaces.
#Name: =~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"

// #Address is host:port on which to listen or to which to connect.
#Address: =~"^[^ ]*:[0-9]{1,5}$"

// #Extent is a topology domain.
#Extent: "machine" | "cell" | "zone"

// #Class is a class of jobs.
#Class: {
	name: #Name
	// What a second start of the same job does: no harm (idempotent), dropped by the nodes of one group for a while
	// (idempotent-by-key), or not allowed (non-idempotent).
	// Deprecated, removed in 0.2.0: safe is idempotent, keyed is idempotent-by-key, unsafe is non-idempotent.
	effect: *"non-idempotent" | "idempotent" | "idempotent-by-key" | "safe" | "keyed" | "unsafe"
	// idempotent-by-key: the group of nodes that drops copies, and for how long after the first send.
	group:  *"zone" | #Extent | "everywhere"
	window: *"5s" | #Duration
	aim:    *"1s" | #Duration // latency objective: a start within it has the full weight
	giveup: *"30s" | #Duration // placement timeout: the placement request ends after it
	worth:  *1 | (number & >=0) // priority weight of a start within aim
	lateWorth: *0.1 | (number & >=0 & <=1) // weight of a later start, as a fraction of worth
	startSeconds: *10 | (number & >=0) // value of a start within aim, in seconds of full service
	// Service is full up to a utilization of the cores of calm, and falls to none at calm+fade.
	calm: *1 | (number & >0)
	fade: *0.5 | (number & >=0)
	// Name of the kind of machine that a job requires; empty: any.
	kind:     *"" | #Name
	priority: *0 | (int & >=0 & <=3) // jobs of higher priorities preempt those of lower ones
	// At most `most` tasks of one service in one topology domain, for each scheduler; empty: no limit.
	spread: *"" | #Extent
	most:   *1 | (int & >=1)
	// Requests of a job that has none of its own.
	cores:  *1 | (number & >0)
	memory: *1 | (number & >0) // GiB
}

// #Kind is a kind of machine.
#Kind: {
	name:   #Name
	cores:  number & >0
	memory: number & >0 // GiB
}

// #Tenant is a customer whose jobs share a quota.
#Tenant: {
	name:       #Name
	share:      *1 | (number & >0 & <=1) // quota as a fraction of the fleet
	perSecond:  *0 | (number & >=0) // quota of new tasks a second, over all schedulers; 0: no limit
	quotaCores: *0 | (number & >=0) // quota of cores, over all schedulers; 0: no limit
}

// #Rules are settings that the schedulers, nodes and checkers of a deployment share.
#Rules: {
	acceptCores:  *1 | (number & >=1) // overcommit: multiple of its cores that the tasks of a node may request
	acceptMemory: *1 | (number & >=1) // overcommit of memory
	preempts:     *true | bool // nodes evict tasks of lower priorities for those of higher ones
	drainGrace:   *"2s" | #Duration // for which a draining node may still receive offers
	answerSlack:  *"500ms" | #Duration // allowed after a deadline for the transmission of the answer
	maxAttempts:  *3 | (int & >=1 & <=16) // of a placement request
	coldFor:      *"15s" | #Duration // maximum length of a node's slow start
	fallWindow:   *"3s" | #Duration // overload window: in which offers to a node in slow start are counted
	coldOffers:   *20 | (number & >=1) // slow-start budget: offers within fallWindow that never overload a node
	settle:       *"3s" | #Duration // before a job may restart after an attempt of unknown outcome
}

// #Limits are the resources and timeouts of a scheduler.
#Limits: {
	maxOpen:     *20000 | (int & >=1) // jobs whose placement request has no outcome
	maxJobs:     *1000000 | (int & >=1) // running jobs
	maxFinished: *100000 | (int & >=1) // ended jobs that are retained for queries
	maxSessions: *10000 | (int & >=1) // job sessions
	retention:   *"1h" | #Duration // of ended jobs
	connections: *10000 | (int & >=1) // of clients
	clientOut:   *4194304 | (int & >=65536) // bytes queued for a client that does not read
	nodeOut:     *16777216 | (int & >=65536) // bytes queued for a node that does not read
	idle:        *"60s" | #Duration // idle timeout of a client's connection
	request:     *"10s" | #Duration // for all bytes of a request to arrive
	stopWithin:  *"10s" | #Duration // graceful shutdown after SIGTERM: for the outcomes of pending placement requests
}

// #Scheduler is the configuration of `flaxshelf serve`.
#Scheduler: {
	name:       *"flaxshelf" | #Name
	listen:     *"127.0.0.1:7171" | #Address
	metrics:    *"" | #Address // Prometheus metrics, empty: none
	inventory:  #Address // of the discovery service
	index:      *0 | (int & >=0) // of this scheduler, below schedulers
	schedulers: *1 | (int & >=1) // in the deployment
	cores:      *1 | (int & >=1 & <=64) // shards, each of which places jobs as a scheduler of its own
	zone:       *"" | string // of this scheduler
	seed:       *0 | (int & >=0) // of random numbers; 0: from the time of the start
	tick:       *"2ms" | #Duration // minimum time between two steps of the module
	connect:    *"250ms" | #Duration // timeout of a connection to a node
	listsFree:  *false | bool // the inventory lists free cores and memory
	runsWhenPlaced: *false | bool // a placement request has its outcome when the job runs, not when a node accepts it
	overShareWorth: *1 | (number & >=0 & <=1) // weight of a job over its tenant's quota, as a fraction of worth
	crossZone:      *0 | (number & >=0) // price of a placement in another zone, in points
	fleetPrice:     *0 | (number & >=0) // price of the machines in use, in points
	classes: [#Class, ...#Class]
	kinds: [#Kind, ...#Kind]
	tenants: *[] | [...#Tenant]
	rules:   #Rules
	limits:  #Limits
	log: *"info" | "debug" | "warn" | "error"
	moduleRecording: *"" | string // file to which each step of the module is recorded, empty: none
	tap: *"" | string // deprecated, removed in 0.2.0: use moduleRecording
}

// #Node is a stand-in node.
#Node: {
	name:   #Name
	kind:   #Name // of its machine
	zone:   *"" | string
	cell:   *0 | (int & >=0)
	listen: *"127.0.0.1:0" | #Address
	warm: *true | bool // its slow start is over
}

// #Behaviour is the behaviour of stand-in nodes.
#Behaviour: {
	look:           *"10ms" | #Duration // review time of an offer; one offer at a time
	maxWait:        *32 | (int & >=1) // offers that may wait for review
	startSlots:     *4 | (int & >=1) // concurrent starts
	startWork:      *"50ms" | #Duration // time of a start whose program is cached
	freshFactor:    *8 | (number & >=1) // multiple of startWork for a program that is not cached
	keep:           *8 | (int & >=0) // programs that stay cached after their last task
	coldFrom:       *0.2 | (number & >0 & <=1) // rate of starts at boot, as a fraction of the full rate
	fallMultiple:   *4 | (number & >0) // offers that crash a node in slow start, as a multiple of its possible starts
	useCores:       *[0.3, 0.7] | [number, number] // range of cores in use, as fractions of the request
	useMemory:      *[0.5, 0.9] | [number, number] // range of memory in use, as fractions of the request
	noteEvery:      *"500ms" | #Duration // interval of usage reports; 0s: none
	reports:        *false | bool // answers have a load report
	drainSendsAway: *"0s" | #Duration // interval between migrations off a draining node; 0s: none
	life:           *"20s" | #Duration // run time of a job that has none of its own
}

// #Fleet is a stand-in cluster, for `flaxshelf node` and `flaxshelf up`.
#Fleet: {
	inventory: *"127.0.0.1:0" | #Address
	late:      *"200ms" | #Duration // discovery delay: time until the inventory lists a change
	goneAfter: *"1s" | #Duration // removal delay: time until a disconnected node is removed
	kinds: [#Kind, ...#Kind]
	nodes: [#Node, ...#Node]
	rules:     #Rules
	behaviour: #Behaviour
	seed:      *1 | int
	log: *"info" | "debug" | "warn" | "error"
}
