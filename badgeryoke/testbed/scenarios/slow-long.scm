; Ten minutes of a counter that is seven times slower
(scenario slow-long
  (about "Ten minutes of a counter that is seven times slower")
  (length 10min)
  (gateways 3 (skew 200ms))
  (servers 10 (work 30ms..90ms))
  (counter (calls 1000/s) (delay 0.3ms..1.9ms) (timeout 50ms))
  (plan distributor (rate 25/s) (burst 45u) (ceiling 45/s 80u) (slack 8u) (price 1.6x))
  (plan dealer (rate 6/s) (burst 26u) (beyond-costs 0.5x) (price 1.2x))
  (customers 6 (plan distributor) (spread 2..3) (demand 0.2x..1.2x) (skew 73% every 8s))
  (customers 12 (plan dealer) (spread 2..3) (demand 0.2x..1.2x) (skew 73% every 8s))
  (at 5s (slow counter 7x)))
