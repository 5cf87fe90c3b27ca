(scenario fleet-step
  (about "The wall clock of a gateway jumps back by half a minute (in simulated time alone)")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (step gateway 5 -30s))
  (at 9s (kill gateway 5))
  (at 10s (start gateway 5)))
