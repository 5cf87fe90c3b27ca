(scenario fleet-calm
  (about "Five gateways share their state, and nothing goes wrong")
  (length 20s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s))
