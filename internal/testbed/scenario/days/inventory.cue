#Town
about: "the inventory fails, is stale while nodes go, and drops its watches"
seconds: 12
troubles: [
	{at: 1, for: 2, do: "inventory-fails"},
	{at: 4, for: 2, do: "inventory-stale"},
	{at: 4.5, for: 2, do: "lose", share: 0.25},
	{at: 7, do: "inventory-cut", schedulers: [0, 1, 2]},
	{at: 8, for: 2, do: "shrink", zone: "room-c", share: 0.5},
]
