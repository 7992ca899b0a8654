#Town
about: "a room is lost and comes back cold"
troubles: [{at: 2, for: 3, do: "lose", zone: "room-b"}]
