#Town
about: "over half of the nodes fail every start of one class"
troubles: [{at: 1, for: 6, do: "fail-starts", share: 0.6, factor: 1, class: "simulation"}]
