"""What must hold in the cluster before gateways may be drained, and how the leader observes it.

The leader sends its observation along with the command it proposes, and the state machine judges it again
where the command is applied: a leader whose own check is wrong is caught as a broken invariant.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.invariants import Rule


class ClusterConditions(msgspec.Struct, frozen=True, array_like=True):
    """The state of the cluster without the gateways of a wave, on which a leader decided that they may go."""

    missing_copies: int  # dead or behind, except those of gateways whose process a wave has ended
    spare_voters: int  # beyond the majority, in the group that has fewest; 1 at most
    emptied_zones: int  # zones that would be left without a gateway
    remaining_units_per_s: float  # capacity of the remaining gateways; negative: not known, and not judged
    required_units_per_s: float

    def validate(self) -> tuple[Rule, str] | None:
        """The first condition that does not hold, and an explanation; none where all hold.

        The explanation up to its colon names the kind of obstacle, and both are told to operators."""
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
