(scenario fleet-spoil
  (about "A bit flips in a store while its gateway is down: it comes back as a newcomer")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (kill gateway 4) (spoil gateway 4))
  (at 10s (start gateway 4)))
