#Town
about: "a third of the nodes never answer asks of one class, then of the one that must not start twice"
troubles: [
	{at: 1, for: 4, do: "silent", share: 0.3, class: "simulation"},
	{at: 4, for: 4, do: "silent", share: 0.3, class: "ledger"},
]
