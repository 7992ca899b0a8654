#Town
about: "every node is replaced by a cold one, two at a time, while twice the usual load comes"
seconds: 12
troubles: [{at: 1, for: 9, do: "deploy", factor: 2}, {at: 1, for: 9, do: "burst", factor: 3}]
