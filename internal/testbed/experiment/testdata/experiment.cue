about: "two short designs whose results are stored"
seeds: 2
first: 3
warm:  0.5
designs: [
	{name: "vote", day: "../scenario/testdata/day.cue"},
	{name: "random", day: "../scenario/testdata/day.cue", load: 2, schedulers: 1, lose: "room-b", module: "random"},
]
