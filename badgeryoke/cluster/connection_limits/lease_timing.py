"""Durations of connection leases, which the granting side and the holders must agree on.

A connection lease lasts `LEASE_MULTIPLE` times as long as a rate lease, and one call renews all leases of a holder in
a bucket: 200 gateways on 120 servers make 960 calls a second if each uses all sixteen buckets (24,000 leases), and 300
if each gateway uses five servers.
"""

from __future__ import annotations

from badgeryoke.cluster.timings import Timings

LEASE_MULTIPLE = 5.0  # duration as a multiple of that of a rate lease
RENEWALS_PER_LEASE = 3.0
# This long before the expiry no connection may be opened, and all are being closed.
CLOSE_BEFORE_EXPIRY_MS = 300.0


def connection_lease_ms(timings: Timings) -> float:
    """Duration of a lease by its holder's clock."""
    return timings.lease_ms * LEASE_MULTIPLE


def renewal_interval_ms(timings: Timings) -> float:
    """Interval between two renewals by a holder."""
    return connection_lease_ms(timings) / RENEWALS_PER_LEASE
