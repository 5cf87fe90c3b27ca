(scenario contract-loss
  (about "A gateway is lost in the middle of a reserved window")
  (length 35s)
  (gateways 5 (fleet on) (copies 3) (halls 2))
  (servers 3 (work 30ms..90ms) (slots 16))
  (counter (calls 1000/s) (delay 0.3ms..1.9ms) (timeout 50ms))
  (plan distributor (rate 0.05/s) (burst 1u) (ceiling 60/s 90u) (beyond-costs 9x))  ; nothing beside the contract
  (plan dealer (rate 6/s) (burst 26u) (beyond-costs 0.5x) (price 1.2x))
  (customers 3 (plan distributor) (spread 3) (demand 480x..560x) (skew 73% every 8s))
  (customers 12 (plan dealer) (spread 3) (demand 4x..5x))
  (contract peak (customers 1..3) (rate 60/s) (burst 30u) (from 5s) (to 30s))
  (proposals 40/s)
  (at 14s (lose gateway 2))
  (at 20s (start gateway 2)))
