"""Commands of the cluster's own group that change or read which member replicates which group.

Their tags and field names are stored in logs and used in operators' calls, so they must not change.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.state_machine_part import Command

MAX_NAME_LENGTH = 64
MAX_VOTERS = 16
# `CancelMove.why` of a learner that did not catch up; it is not chosen again for a while.
SLOW_LEARNER_REASON = "the newcomer does not catch up"


class EnrolMember(Command, frozen=True, tag="Enrol"):
    """Makes an id the current id of its name; the previous id is lost for good."""

    name: str
    who: MemberId
    zone: str = msgspec.field(name="hall")

    def validate(self) -> str:
        """See `Command.validate`."""
        if not 1 <= len(self.name) <= MAX_NAME_LENGTH or len(self.zone) > MAX_NAME_LENGTH:
            return f"name, hall: expected up to {MAX_NAME_LENGTH} letters"
        is_of_name = member_name(self.who) == self.name
        if not is_of_name or not len(self.name) + 1 < len(self.who) <= 2 * MAX_NAME_LENGTH:
            return f"who: expected {self.name}/INCARNATION"
        return ""


class ReplaceReplica(Command, frozen=True, tag="Replace"):
    """Starts a move of one replica: `new` replaces `lost`; one of them may be empty.

    `most` is the upper bound on the moves in progress over all groups, this one included.
    """

    group: str
    lost: MemberId
    new: MemberId
    most: int

    def validate(self) -> str:
        """See `Command.validate`."""
        if self.lost == self.new:
            return "lost, new: expected two, or one and nothing"
        return "" if self.most >= 1 else "most: expected 1 at the least"


class ReplicaMoved(Command, frozen=True, tag="Moved"):
    """A group's leader reports its committed voters, which may complete the group's move."""

    group: str
    voters: tuple[MemberId, ...]
    number: int  # the index of that configuration in the group's log
    behind: tuple[MemberId, ...] = ()  # voters that have not caught up

    def validate(self) -> str:
        """See `Command.validate`."""
        is_valid = 1 <= len(self.voters) <= MAX_VOTERS and self.number >= 0
        return "" if is_valid else "voters, number: out of bounds"


class CancelMove(Command, frozen=True, tag="Forgo"):
    """Cancels a move that cannot complete; the learner that was added for it is removed again."""

    group: str
    new: MemberId
    why: str


class ReadPlacement(Command, frozen=True, tag="Places"):
    """Reads which member replicates which group."""

    is_read_only = True


# The commands that change the placement.
PlacementCommand = EnrolMember | ReplaceReplica | ReplicaMoved | CancelMove
COMMANDS: tuple[type[Command], ...] = (EnrolMember, ReplaceReplica, ReplicaMoved, CancelMove, ReadPlacement)
