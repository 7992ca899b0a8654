#Town
about: "another program takes most of half of the nodes, on and off"
troubles: [
	{at: 1, for: 2, do: "crowd", share: 0.5, factor: 0.9},
	{at: 4, for: 3, do: "crowd", share: 0.5, factor: 0.9},
]
