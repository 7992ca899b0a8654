// A day with every field of the record set.
about:          "every field"
seconds:        2
after:          1
schedulers:     2
cores:          1
late:           "5ms"
goneAfter:      "900ms"
listsFree:      true
runsWhenPlaced: true
cpu: {step: "20us", input: "3us"}
kinds: [{name: "small", cores: 8, memory: 32}]
classes: [{
	name:      "keyed", effect: "keyed", group: "zone", kind: "small", spread: "cell", window: "2s", aim: "500ms"
	giveup:    "1500ms", worth: 3, lateWorth: 0.2, startSeconds: 2, calm: 0.8, fade: 0.2, priority: 1, most: 30, cores: 0.5
	memory:    1.5
}]
tenants: [{name: "t0", share: 1, perSecond: 20, quotaCores: 60}]
rules: {
	acceptCores: 1.5, acceptMemory: 1.25, preempts: true, drainGrace: "1s", answerSlack: "150ms", coldFor: "4s"
	fallWindow: "2s", settle: "1s", maxAttempts: 2, coldOffers: 12
}
limits: {
	maxOpen:   1000, maxJobs: 2000, maxFinished: 300, maxSessions: 40, connections: 50, clientOut: 1048576, nodeOut: 2097152
	retention: "60s", idle: "30s", request: "5s", stopWithin: "7s"
}
behaviour: {
	look:           "4ms", startWork: "20ms", noteEvery: "250ms", drainSendsAway: "700ms", life: "9s", maxWait: 16
	startSlots:     3, keep: 100, freshFactor: 1.5, coldFrom: 0.25, fallMultiple: 2, useCores: [0.5, 0.75]
	useMemory: [0.25, 0.5], reports: true
}
fleet: [
	{name: "a", count: 2, kind: "small", zone: "room-a", cell: 1, warm: true},
	{name: "b", count: 2, kind: "small", zone: "room-b", cell: 2, warm: true},
]
load: [{
	class: "keyed", tenant: "t0", perSecond: 12, from: 0.25, to: 1.75, cores: 0.75, memory: 2, terminate: 0.1, hold: 0.05
	services: 4, life: ["500ms", "2s"], rerunnable: true, retry: "300ms", patience: "3s"
}]
troubles: [{at: 0.5, for: 0.25, do: "silent", zone: "room-a", class: "keyed", share: 0.5, factor: 2, schedulers: [1]}]
