// The fleet of `flaxshelf up`: four stand-in nodes in two zones.
kinds: [{name: "small", cores: 16, memory: 64}, {name: "large", cores: 32, memory: 128}]
nodes: [
	{name: "n1", kind: "small", zone: "room-a", cell: 0},
	{name: "n2", kind: "large", zone: "room-a", cell: 0},
	{name: "n3", kind: "small", zone: "room-b", cell: 1},
	{name: "n4", kind: "large", zone: "room-b", cell: 1},
]
rules: {acceptCores: 1.5, acceptMemory: 1.5}
behaviour: look: "5ms"
