#Town
about: "nodes lose the programs that they kept, again and again"
troubles: [for i in [1, 3, 5, 7] {at: i, do: "drop-programs", factor: 1}]
