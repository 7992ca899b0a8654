#Town
about: "four times the usual load for a while"
limits: maxOpen: 100
troubles: [{at: 2, for: 4, do: "burst", factor: 4}]
