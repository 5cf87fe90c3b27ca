(scenario fleet-freeze
  (about "A gateway stands still, then goes on as if nothing had been")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (freeze gateway 3))
  (at 14s (thaw gateway 3)))
