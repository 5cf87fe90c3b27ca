(scenario fleet-one-way
  (about "What one gateway says to all others is lost, and it still hears them")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (cut gateways (1) (2 3 4 5) one-way))
  (at 18s (mend gateways)))
