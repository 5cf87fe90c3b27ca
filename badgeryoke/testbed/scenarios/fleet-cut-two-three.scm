(scenario fleet-cut-two-three
  (about "The halls lose sight of each other, two gateways here and three there")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (cut gateways (1 2) (3 4 5)))
  (at 18s (mend gateways)))
