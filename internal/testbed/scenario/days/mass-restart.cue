#Town
about:      "all nodes start anew at once, in a rush; twenty schedulers share what the cold ones bear"
schedulers: 20
seconds:    8
troubles: [{at: 2, do: "restart"}, {at: 2, for: 3, do: "burst", factor: 5}]
