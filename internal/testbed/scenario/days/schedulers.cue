#Town
about: "schedulers are killed, stopped for longer than the grace, and asked to leave, with jobs in every state"
seconds: 12
troubles: [
	{at: 2, for: 0.3, do: "kill-scheduler", schedulers: [0]},
	{at: 3, for: 3, do: "stop-scheduler", schedulers: [1]},
	{at: 3.5, for: 5, do: "shrink", zone: "room-a", share: 0.5},
	{at: 5, for: 1.5, do: "kill-scheduler", schedulers: [0, 2]},
	{at: 8, for: 0.5, do: "term-scheduler", schedulers: [1]},
]
