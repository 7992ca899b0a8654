#Town
about:      "all nodes start anew at once; twenty schedulers share what the cold ones bear"
schedulers: 20
seconds:    8
troubles: [{at: 2, do: "restart"}]
