"""Reserved capacity: contracts, their admission, and the leases under which gateways use them."""
