#Town
about: "connections to nodes are cut, cut in the middle of a reply, half-open, late and stalled"
seconds: 12
troubles: [
	{at: 1, do: "cut"},
	{at: 2, do: "cut-reply"},
	{at: 3, for: 2, do: "delay", share: 0.5, factor: 0.1},
	{at: 5, for: 1.5, do: "stall", share: 0.3},
	{at: 7, for: 2, do: "half-open", share: 0.3},
	{at: 9, do: "cut-reply", share: 0.5},
]
