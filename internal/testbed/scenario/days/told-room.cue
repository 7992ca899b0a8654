#Town
about:      "the inventory tells free room; the fleet is nearly full, and large tasks need what is left"
schedulers: 4
seconds:    12
listsFree:  true
load: [
	{class: "sensor", perSecond: 60, services: 80, life: ["500ms", "3s"], rerunnable: true},
	{class: "simulation", perSecond: 30, services: 6, life: ["1s", "4s"], rerunnable: true},
	{class: "ledger", perSecond: 8, services: 8, life: ["500ms", "3s"]},
]
