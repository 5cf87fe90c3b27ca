"""Commands of the cluster's own group that change, or read, which member replicates which group.

Their tags and field names are stored in logs and used in calls of operators, and stay.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.state_machine_part import Command

MAX_NAME_LENGTH = 64
MAX_VOTERS = 16
SLOW_LEARNER = (
    "the newcomer does not catch up"  # `CancelMove.why` after which it is not asked again for a while
)


class EnrolMember(Command, frozen=True, tag="Enrol"):
    """Makes an id its name's present one; the one before is lost for good."""

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
    """Begins a move of one replica: `new` in the place of `lost`; one of them may be empty.

    `most` bounds the moves under way over all groups, this one included.
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
    """A group's leader reports its committed voters; ends the move that they complete."""

    group: str
    voters: tuple[MemberId, ...]
    number: int  # the index of that configuration in the group's log
    behind: tuple[MemberId, ...] = ()  # voters that have not caught up

    def validate(self) -> str:
        """See `Command.validate`."""
        is_valid = 1 <= len(self.voters) <= MAX_VOTERS and self.number >= 0
        return "" if is_valid else "voters, number: out of bounds"


class CancelMove(Command, frozen=True, tag="Forgo"):
    """Gives up a move that cannot end; a learner that was added for it is removed again."""

    group: str
    new: MemberId
    why: str


class ReadPlacement(Command, frozen=True, tag="Places"):
    """Reads which member replicates which group."""

    is_read_only = True


PlacementCommand = EnrolMember | ReplaceReplica | ReplicaMoved | CancelMove  # those that change it
COMMANDS: tuple[type[Command], ...] = (EnrolMember, ReplaceReplica, ReplicaMoved, CancelMove, ReadPlacement)
