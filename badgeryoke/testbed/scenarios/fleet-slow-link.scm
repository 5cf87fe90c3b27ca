(scenario fleet-slow-link
  (about "One gateway is 400 ms away from the others for a while")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (delay gateways (1) (2 3 4 5) 400ms))
  (at 18s (mend gateways)))
