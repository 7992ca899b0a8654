
// #Design is one way to run a day.
#Design: {
	name: string & !=""
	// A day that ships with the program, or a file.
	day: string & !=""
	// What differs from the day: a factor of its load, another number of schedulers, a zone whose nodes are missing.
	load:       *1 | (number & >0)
	schedulers: *0 | (int & >=0)
	lostZone:   *"" | #Name
	lostZone:   lose
	// Deprecated: use lostZone; removed in 0.2.0.
	lose: *"" | #Name
	lose: lostZone
	// What chooses machines: the module, or a baseline that obeys the same rules.
	module: *"vote" | "random" | "two-choices" | "least-asked"
}

// #Experiment is a comparison of designs over seeds.
#Experiment: {
	about: string
	seeds: *5 | (int & >=2 & <=1000)
	first: *1 | (int & >=1)
	// Seconds at the start of each day that are not measured.
	warmUpSeconds: *0 | (number & >=0)
	warmUpSeconds: warm
	// Deprecated: use warmUpSeconds; removed in 0.2.0.
	warm: *0 | (number & >=0)
	warm: warmUpSeconds
	// The others are compared with the first, seed by seed.
	designs: [#Design, ...#Design]
}
