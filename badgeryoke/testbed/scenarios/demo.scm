; What `badgeryoke demo` plays, until it is stopped
(scenario demo
  (about "One gateway before four servers, customers within and beyond their quotas")
  (length 60min)
  (gateways 1)
  (servers 4 (work 20ms..80ms))
  (counter (calls 1000/s) (delay 0.3ms..1.9ms) (timeout 50ms))
  (plan distributor (rate 25/s) (burst 45u) (ceiling 45/s 80u) (slack 8u) (price 1.6x))
  (plan dealer (rate 6/s) (burst 26u) (beyond-costs 0.5x) (price 1.2x))
  (customers 2 (plan distributor) (spread 1) (demand 0.3x..1.5x))
  (customers 6 (plan dealer) (spread 1) (demand 0.3x..1.5x)))
