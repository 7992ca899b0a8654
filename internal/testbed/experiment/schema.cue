
// #Design is one way to run a day.
#Design: {
	name: string & !=""
	// A day that ships with the program, or a file.
	day: string & !=""
	// What differs from the day: a factor of its load, another number of schedulers, a zone whose nodes are missing.
	load:       *1 | (number & >0)
	schedulers: *0 | (int & >=0)
	lose:       *"" | #Name
	// What chooses machines: the module, or a baseline that obeys the same rules.
	module: *"vote" | "random" | "two-choices" | "least-asked"
}

// #Experiment is a comparison of designs over seeds.
#Experiment: {
	about: string
	seeds: *5 | (int & >=2 & <=1000)
	first: *1 | (int & >=1)
	// Seconds at the start of each day that are not measured.
	warm: *0 | (number & >=0)
	// The others are compared with the first, seed by seed.
	designs: [#Design, ...#Design]
}
