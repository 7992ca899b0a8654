#Town
about: "most tasks belong to one service, whose spread is bounded"
troubles: [{at: 1, for: 6, do: "hot-service", class: "sensor", factor: 0.8}]
