"""When a node has to be called again, and when its repeated tasks are due: times of the monotonic clock, ms."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from badgeryoke.cluster.messages import MemberId

TOKEN_BITS = 48


@dataclass(slots=True)
class NodeTimers:
    """`due_at`: the next Tick comes by then at the latest; the parts of a node bring it forward."""

    due_at: float
    leader_tasks_at: float
    poll_at: float

    def bring_forward(self, at: float) -> None:
        """Have the next Tick come by `at`."""
        self.due_at = min(self.due_at, at)


def next_multiple(now: float, step_ms: float) -> float:
    """The next multiple of a step: what repeats does so at the same moments, so that one waking serves all."""
    return (now // step_ms + 1.0) * step_ms


class TokenSource:
    """Tokens of calls and proposals; those of an earlier process are never answered as this one's."""

    def __init__(self, member_id: MemberId, draw: Random) -> None:
        self._prefix = f"{member_id}:{draw.getrandbits(TOKEN_BITS):012x}"
        self._count = 0

    def next(self) -> str:
        """A token that was never given before."""
        self._count += 1
        return f"{self._prefix}:{self._count}"
