
// #Design is one way to run a day.
#Design: {
	name: string & !=""
	// A day that ships with the program, or a file.
	day: string & !=""
	// What is changed in it: the load is multiplied, another number of schedulers, a room that is lost for good.
	load:       *1 | (number & >0)
	schedulers: *0 | (int & >=0)
	lose:       *"" | #Name
	// What chooses machines: the module's vote, or a baseline that keeps the same rules.
	module: *"vote" | "random" | "two-choices" | "least-asked"
}

#Experiment: {
	about: string
	seeds: *5 | (int & >=2 & <=1000)
	first: *1 | (int & >=1)
	// Seconds at the start of each day that don't count.
	warm: *0 | (number & >=0)
	// The first is what the others are compared with, seed by seed.
	designs: [#Design, ...#Design]
}
