// A day without faults.
about:      "two schedulers, six nodes in three rooms, no trouble"
seconds:    4
after:      5
schedulers: 2
kinds: [{name: "medium", cores: 24, memory: 96}, {name: "large", cores: 48, memory: 192}]
classes: [
	{name: "sensor", effect: "safe", aim: "600ms", giveup: "3s", worth: 3, cores: 0.5, memory: 1, spread: "zone", most: 4},
	{name: "simulation", effect: "keyed", group: "zone", window: "5s", aim: "3s", giveup: "4s", priority: 1, worth: 9, cores: 6, memory: 12},
	{name: "ledger", effect: "unsafe", aim: "3s", giveup: "4s", worth: 2, cores: 1, memory: 2},
]
rules: {acceptCores: 1.5, acceptMemory: 1.5, drainGrace: "1s", settle: "2s", coldFor: "6s", fallWindow: "2s", coldOffers: 20}
behaviour: {look: "4ms", startWork: "20ms"}
fleet: [
	{name: "a", count: 2, kind: "medium", zone: "room-a", cell: 0},
	{name: "b", count: 2, kind: "large", zone: "room-b", cell: 1},
	{name: "c", count: 2, kind: "medium", zone: "room-c", cell: 2},
]
load: [
	{class: "sensor", perSecond: 30, services: 40, life: ["500ms", "2s"]},
	{class: "simulation", perSecond: 2, services: 4, life: ["1s", "2s"], rerunnable: true},
	{class: "ledger", perSecond: 4, services: 4, life: ["500ms", "2s"]},
]
