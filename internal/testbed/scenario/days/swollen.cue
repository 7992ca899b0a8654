#Town
about: "tasks of one class use twice what they asked; memory runs out and nodes evict"
behaviour: useMemory: [0.8, 1]
troubles: [{at: 1, for: 6, do: "swell", factor: 2}]
