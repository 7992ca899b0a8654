// The scheduler of `flaxshelf up`. The command sets the address of the inventory.
name:      "up"
inventory: "127.0.0.1:0"
kinds: [{name: "small", cores: 16, memory: 64}, {name: "large", cores: 32, memory: 128}]
classes: [
	{name: "service", effect: "idempotent", aim: "1s", giveup: "10s", priority: 1, worth: 3, cores: 0.5, memory: 1, spread: "zone", most: 8},
	{name: "batch", effect: "idempotent-by-key", group: "zone", window: "5s", aim: "5s", giveup: "30s", cores: 4, memory: 8},
	{name: "once", effect: "non-idempotent", aim: "5s", giveup: "30s", cores: 1, memory: 2},
]
rules: {acceptCores: 1.5, acceptMemory: 1.5}
