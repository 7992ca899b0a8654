#Town
about: "clients that send a byte at a time, never read, send heads without end, rubbish and nonsense"
limits: request: "1s"
troubles: [{at: 1, for: 6, do: "rude-clients", schedulers: [0, 1, 2], factor: 15}]
