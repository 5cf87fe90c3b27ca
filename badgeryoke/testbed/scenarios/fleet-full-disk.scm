(scenario fleet-full-disk
  (about "The disk of a gateway is full for a while: it promises nothing and serves on")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (fill gateway 2))
  (at 14s (kill gateway 2))
  (at 15s (empty gateway 2) (start gateway 2)))
