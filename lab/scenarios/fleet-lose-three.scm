(scenario fleet-lose-three
  (about "Three gateways with three copies each: one is lost with its disk and comes back empty")
  (length 30s)
  (gateways 3 (fleet on) (copies 3))
  (proposals 40/s)
  (at 8s (lose gateway 1))
  (at 12s (start gateway 1)))
