#Town
about: "the fleet shrinks to half"
troubles: [
	{at: 1, for: 2, do: "shrink", zone: "room-a"},
	{at: 3, for: 2, do: "shrink", share: 0.3},
]
