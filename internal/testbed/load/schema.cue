
// #Shape is the rate of submissions over time. Times are seconds from the start.
#Shape: {
	// steady; ramp: from perSecond to peak over the whole time; burst: peak for `for` seconds from `from` on, which
	// recurs after `every`; cold-snap: up fast, down slowly, within `for` seconds; diurnal: between perSecond and peak and
	// back within `every` seconds.
	kind:      *"steady" | "ramp" | "burst" | "cold-snap" | "diurnal"
	perSecond: number & >0 & <=100000
	peak:      *0 | (number & >=0 & <=100000)
	from:      *0 | (number & >=0)
	for:       *0 | (number & >=0)
	every:     *0 | (number & >=0)
}

// #Lives is the distribution of the runtimes of jobs.
#Lives: {
	law:   *"exponential" | "constant" | "lognormal" | "pareto"
	mean:  *"5s" | #Duration
	// lognormal: standard deviation of the logarithm; pareto: the exponent, above 1.
	tail:  *1.5 | (number & >0)
	least: *"1ms" | #Duration
}

// #Stream is submissions of one class.
#Stream: {
	class:    #Name
	tenant:   *"" | #Name
	shape:    #Shape
	lives:    #Lives
	services: *20 | (int & >=1)
	popular:  *0 | (number & >=0 & <=1) // share that goes to one service
	cores:    *0 | (number & >=0)       // 0: as the class has it
	memory:   *0 | (number & >=0)
}

// #Plan is a load made of streams.
#Plan: {
	about:   string
	seconds: number & >0 & <=86400
	streams: [#Stream, ...#Stream]
}
