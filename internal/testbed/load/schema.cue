
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

// #RuntimeDistribution is the distribution of the runtimes of jobs.
#RuntimeDistribution: {
	law:   *"exponential" | "constant" | "lognormal" | "pareto"
	mean:  *"5s" | #Duration
	// lognormal: standard deviation of the logarithm; pareto: the exponent, above 1.
	tail:  *1.5 | (number & >0)
	min:   *"1ms" | #Duration
	min:   least
	// Deprecated: use min; removed in 0.2.0.
	least: *"1ms" | #Duration
	least: min
}

// #Stream is submissions of one class.
#Stream: {
	class:    #Name
	tenant:   *"" | #Name
	shape:    #Shape
	runtimes: #RuntimeDistribution & lives
	// Deprecated: use runtimes; removed in 0.2.0.
	lives:    #RuntimeDistribution & runtimes
	services: *20 | (int & >=1)
	// Fraction of the submissions that is for one service.
	hotServiceFraction: *0 | (number & >=0 & <=1)
	hotServiceFraction: popular
	// Deprecated: use hotServiceFraction; removed in 0.2.0.
	popular:  *0 | (number & >=0 & <=1)
	popular:  hotServiceFraction
	cores:    *0 | (number & >=0)       // 0: as the class has it
	memory:   *0 | (number & >=0)
}

// #Plan is a load made of streams.
#Plan: {
	about:   string
	seconds: number & >0 & <=86400
	streams: [#Stream, ...#Stream]
}
