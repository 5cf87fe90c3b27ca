(scenario fleet-resets
  (about "Connections between two halves break twice a second")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (reset gateways (1 2) (3 4 5) 2/s))
  (at 18s (mend gateways)))
