; Seven times slower, for long: not to be taken for a loss
(scenario counter-slow
  (about "Seven times slower, for long: not to be taken for a loss")
  (length 40s)
  (gateways 3)
  (servers 10 (work 30ms..90ms))
  (counter (calls 1000/s) (delay 0.3ms..1.9ms) (timeout 50ms))
  (plan distributor (rate 25/s) (burst 45u) (ceiling 45/s 80u) (slack 8u) (price 1.6x))
  (plan dealer (rate 6/s) (burst 26u) (beyond-costs 0.5x) (price 1.2x))
  (customers 8 (plan distributor) (spread 3) (demand 4x..7x) (skew 73% every 8s))
  (customers 12 (plan dealer) (spread 3) (demand 4x..7x) (skew 73% every 8s))
  (at 10s (slow counter 7x))
  (at 25s (slow counter 1x)))
