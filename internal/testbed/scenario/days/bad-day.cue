// Many overlapping faults.
#Town
about:   "failing starts, a class that fails in silence, a rolling deploy, a lost room, killed and stopped schedulers, cut links"
seconds: 16
troubles: [
	{at: 1, for: 5, do: "fail-starts", share: 0.2, factor: 0.8},
	{at: 2, for: 4, do: "silent", class: "simulation", share: 0.3},
	{at: 2.5, for: 4, do: "crowd", share: 0.4, factor: 0.5},
	{at: 3, for: 5, do: "deploy", zone: "room-b", factor: 1},
	{at: 3.5, do: "cut", share: 0.5},
	{at: 4, for: 2.5, do: "stop-scheduler", schedulers: [1]},
	{at: 5, for: 1, do: "kill-scheduler", schedulers: [0]},
	{at: 5.5, for: 3, do: "burst", factor: 2},
	{at: 6, for: 0.2, do: "client-cut", schedulers: [1, 2]},
	{at: 7, for: 2, do: "lose", zone: "room-c"},
	{at: 8, for: 2, do: "inventory-fails"},
	{at: 9, do: "cut-reply", share: 0.5},
	{at: 9.5, for: 2, do: "swell", class: "sensor", factor: 1.8},
	{at: 10, for: 1, do: "half-open", share: 0.2},
	{at: 11, for: 3, do: "rude-clients", schedulers: [2], factor: 10},
	{at: 11.5, for: 2, do: "drain", zone: "room-a", share: 0.5},
	{at: 12, for: 2, do: "stop-scheduler", schedulers: [2]},
	{at: 13, do: "drop-programs", factor: 0.9},
]
