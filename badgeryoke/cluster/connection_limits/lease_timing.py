"""Times of connection leases, which the granting side and the holders must agree on.

A connection lease lives `LEASE_MULTIPLE` times as long as one on a rate, and one call renews all of a
holder's servers of a bucket: 200 gateways on 120 servers make 960 calls a second if each uses all sixteen
buckets (24,000 leases), and 300 as gateways keep to five servers each.
"""

from __future__ import annotations

from badgeryoke.cluster.timings import Timings

LEASE_MULTIPLE = 5.0  # of the lease on a rate
RENEWALS_PER_LEASE = 3.0
CLOSE_BEFORE_EXPIRY_MS = 300.0  # from then on nothing is opened, and everything is being closed


def connection_lease_ms(timings: Timings) -> float:
    """Life of a lease by its holder's clock."""
    return timings.lease_ms * LEASE_MULTIPLE


def renewal_interval_ms(timings: Timings) -> float:
    """Between two renewals by a holder."""
    return connection_lease_ms(timings) / RENEWALS_PER_LEASE
