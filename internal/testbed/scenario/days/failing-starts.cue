#Town
about: "a fifth of the nodes fail most starts at once"
troubles: [{at: 1, for: 6, do: "fail-starts", share: 0.2, factor: 0.9}]
