(scenario fleet-narrow-link
  (about "One gateway reaches the others through 20,000 bytes a second")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (narrow gateways (1) (2 3 4 5) 20000/s))
  (at 18s (mend gateways)))
