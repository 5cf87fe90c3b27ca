(scenario fleet-lose-one
  (about "A machine is lost with its disk, and a new one takes its place")
  (length 30s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (proposals 40/s)
  (at 8s (lose gateway 2))
  (at 16s (start gateway 2)))
