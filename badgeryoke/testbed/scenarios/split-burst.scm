; Distributors within their quota burst to seven times its rate just when the counter splits
(scenario split-burst
  (about "Distributors with full stores burst to seven times their rate at the moment of the split")
  (length 40s)
  (gateways 3)
  (servers 10 (work 30ms..90ms))
  (counter (calls 1000/s) (delay 0.3ms..1.9ms) (timeout 50ms))
  (plan distributor (rate 25/s) (burst 45u) (ceiling 45/s 80u) (slack 8u) (price 1.6x))
  (customers 10 (plan distributor) (spread 3) (demand 0.5x) (skew 73% every 8s))
  (at 10s (spike customers 14x) (split counter (1) (2 3)))
  (at 13s (spike customers 1x))
  (at 18s (spike customers 14x))
  (at 21s (spike customers 1x))
  (at 25s (heal counter merge)))
