// The schema of flaxshelf's configuration files. A file is a CUE document that must unify with one of these definitions:
// #Scheduler for `flaxshelf serve`, #Fleet for `flaxshelf node` and `flaxshelf up`.
package flaxshelf

// #Duration is a duration in Go's syntax, such as 250ms or 1m30s.
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$"

// #Name is a name of letters, digits, "_", "." and "-". It starts with a letter or digit and has at most 64 characters.
#Name: =~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"

// #Address is a host:port to listen on or to connect to.
#Address: =~"^[^ ]*:[0-9]{1,5}$"

// #Extent is a topology domain.
#Extent: "machine" | "cell" | "zone"

// #Class is a class of jobs.
#Class: {
	name: #Name
	// Whether a job may be started twice: without harm (idempotent), because the nodes of one group drop a job whose key they
	// have seen within window (idempotent-by-key), or not at all (non-idempotent).
	// Deprecated, removed in 0.2.0: safe means idempotent, keyed means idempotent-by-key, unsafe means non-idempotent.
	effect: *"non-idempotent" | "idempotent" | "idempotent-by-key" | "safe" | "keyed" | "unsafe"
	// For idempotent-by-key: the topology domain whose nodes drop a job with a known key, and how long they remember a key
	// after the first send of its job.
	group:  *"zone" | #Extent | "everywhere"
	window: *"5s" | #Duration
	aim:    *"1s" | #Duration // latency objective: a start within this time has the full weight
	giveup: *"30s" | #Duration // placement timeout: the placement request ends after this time
	worth:  *1 | (number & >=0) // priority weight of a start within aim
	lateWorth: *0.1 | (number & >=0 & <=1) // weight of a later start, as a fraction of worth
	startSeconds: *10 | (number & >=0) // value of a start within aim, in seconds of full service
	// Jobs get full service while the fraction of busy cores is at most calm. At calm+fade, service has fallen to 0.
	calm: *1 | (number & >0)
	fade: *0.5 | (number & >=0)
	// Name of the kind of machine that a job requires; empty: any.
	kind:     *"" | #Name
	priority: *0 | (int & >=0 & <=3) // jobs of higher priorities preempt those of lower ones
	// Each scheduler places at most `most` jobs of one service in one domain of this type; empty: no limit.
	spread: *"" | #Extent
	most:   *1 | (int & >=1)
	// Requests of a job that does not specify them.
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
	perSecond:  *0 | (number & >=0) // quota of new tasks per second, over all schedulers; 0: no limit
	quotaCores: *0 | (number & >=0) // quota of cores, over all schedulers; 0: no limit
}

// #Rules are settings that must be the same for the schedulers, nodes and rule checkers of a deployment.
#Rules: {
	acceptCores:  *1 | (number & >=1) // overcommit: total request of a node's tasks, as a multiple of its cores
	acceptMemory: *1 | (number & >=1) // overcommit of memory
	preempts:     *true | bool // nodes evict tasks of lower priorities for those of higher ones
	drainGrace:   *"2s" | #Duration // how long a draining node may still receive offers
	answerSlack:  *"500ms" | #Duration // time allowed after a deadline for the transmission of the answer
	maxAttempts:  *3 | (int & >=1 & <=16) // maximum for one placement request
	coldFor:      *"15s" | #Duration // maximum length of a node's slow start
	fallWindow:   *"3s" | #Duration // overload window: sliding window that counts offers to a node in slow start
	coldOffers:   *20 | (number & >=1) // slow-start budget: offers within fallWindow that do not overload a node
	settle:       *"3s" | #Duration // wait before a job restarts after an attempt of unknown outcome
}

// #Limits are the resource limits and timeouts of a scheduler.
#Limits: {
	maxOpen:     *20000 | (int & >=1) // jobs with a pending placement request
	maxJobs:     *1000000 | (int & >=1) // running jobs
	maxFinished: *100000 | (int & >=1) // ended jobs that are kept for queries
	maxSessions: *10000 | (int & >=1) // job sessions
	retention:   *"1h" | #Duration // how long ended jobs are kept
	connections: *10000 | (int & >=1) // client connections
	clientOut:   *4194304 | (int & >=65536) // bytes queued for one client that does not read
	nodeOut:     *16777216 | (int & >=65536) // bytes queued for one node that does not read
	idle:        *"60s" | #Duration // idle timeout of a client's connection
	request:     *"10s" | #Duration // time in which all bytes of a request must arrive
	stopWithin:  *"10s" | #Duration // graceful shutdown: wait after SIGTERM for the outcomes of pending placement requests
}

// #Scheduler is the configuration of `flaxshelf serve`.
#Scheduler: {
	name:       *"flaxshelf" | #Name
	listen:     *"127.0.0.1:7171" | #Address
	metrics:    *"" | #Address // address of the Prometheus metrics; empty: disabled
	inventory:  #Address // address of the inventory, the discovery service
	index:      *0 | (int & >=0) // index of this scheduler, below schedulers
	schedulers: *1 | (int & >=1) // number of schedulers in the deployment
	cores:      *1 | (int & >=1 & <=64) // number of shards, each of which places jobs like a separate scheduler
	zone:       *"" | string // zone of this scheduler
	seed:       *0 | (int & >=0) // seed of the random numbers; 0: derived from the start time
	tick:       *"2ms" | #Duration // minimum time between two steps of the module
	connect:    *"250ms" | #Duration // timeout for connecting to a node
	listsFree:  *false | bool // the inventory reports free cores and memory
	runsWhenPlaced: *false | bool // a job counts as placed once it runs, not once a node accepts it
	overShareWorth: *1 | (number & >=0 & <=1) // weight of a job over its tenant's quota, as a fraction of worth
	crossZone:      *0 | (number & >=0) // price of a placement in another zone, in points
	fleetPrice:     *0 | (number & >=0) // price of the machines in use, in points
	classes: [#Class, ...#Class]
	kinds: [#Kind, ...#Kind]
	tenants: *[] | [...#Tenant]
	rules:   #Rules
	limits:  #Limits
	log: *"info" | "debug" | "warn" | "error"
	moduleRecording: *"" | string // file to which each step of the placement module is recorded; empty: none
	tap: *"" | string // deprecated, removed in 0.2.0: use moduleRecording
}

// #Node is a stand-in node.
#Node: {
	name:   #Name
	kind:   #Name // kind of its machine
	zone:   *"" | string
	cell:   *0 | (int & >=0)
	listen: *"127.0.0.1:0" | #Address
	warm: *true | bool // the node starts with its slow start already completed
}

// #Behaviour is the behaviour of the stand-in nodes.
#Behaviour: {
	look:           *"10ms" | #Duration // time to decide on an offer; a node reviews one offer at a time
	maxWait:        *32 | (int & >=1) // limit of offers that wait for review
	startSlots:     *4 | (int & >=1) // concurrent starts
	startWork:      *"50ms" | #Duration // duration of a task start if the program is cached
	freshFactor:    *8 | (number & >=1) // start time of an uncached program, as a multiple of startWork
	keep:           *8 | (int & >=0) // programs that stay cached after their last task ended
	coldFrom:       *0.2 | (number & >0 & <=1) // start rate at boot, as a fraction of the full rate
	fallMultiple:   *4 | (number & >0) // offers that crash a node in slow start, as a multiple of its possible starts
	useCores:       *[0.3, 0.7] | [number, number] // range of cores in use, as fractions of the request
	useMemory:      *[0.5, 0.9] | [number, number] // range of memory in use, as fractions of the request
	noteEvery:      *"500ms" | #Duration // interval of usage reports; 0s: none
	reports:        *false | bool // answers contain a load report
	drainSendsAway: *"0s" | #Duration // interval between migrations off a draining node; 0s: none
	life:           *"20s" | #Duration // run time of a job that does not specify one
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
