"""The conditions that must hold in the cluster before gateways may be drained.

The leader sends its observation along with the command it proposes, and the state machine checks it again when
the command is applied: a faulty check in the leader shows up as a broken invariant.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.invariants import Rule


class ClusterConditions(msgspec.Struct, frozen=True, array_like=True):
    """The state of the cluster without the gateways of a wave, as the leader observed it."""

    missing_copies: int  # dead or lagging replicas, except those of gateways that the restart stopped
    spare_voters: int  # voters beyond the majority, in the group with the fewest; at most 1
    emptied_zones: int  # zones that would be left without a gateway
    remaining_units_per_s: float  # capacity of the remaining gateways; negative: unknown, not checked
    required_units_per_s: float

    def validate(self) -> tuple[Rule, str] | None:
        """The first condition that does not hold, with an explanation; None if all hold.

        The explanation up to its colon names the kind of obstacle; operators see both."""
        if self.missing_copies:
            return Rule.COPIES_WHOLE, f"copies not whole: {self.missing_copies} missing"
        if self.spare_voters < 0:
            return Rule.WAVE_KEEPS_QUORUM, "no majority: a group would be left without"
        if self.emptied_zones:
            return Rule.WAVE_KEEPS_QUORUM, "no hall: one would be left without a gateway"
        if 0.0 <= self.remaining_units_per_s < self.required_units_per_s:
            remaining, required = self.remaining_units_per_s, self.required_units_per_s
            return Rule.WAVE_KEEPS_ROOM, f"no room: what stays carries {remaining:g} of {required:g} needed"
        return None
