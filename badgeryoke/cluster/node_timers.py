"""The timers of a node's periodic tasks, and the tokens of its operations.  Times are monotonic ms."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from badgeryoke.cluster.messages import MemberId

TOKEN_BITS = 48


@dataclass(slots=True)
class NodeTimers:
    """When tasks of a node are due.  `due_at` is when the next Tick is needed; the node's parts bring it forward."""

    due_at: float
    leader_tasks_at: float
    poll_at: float

    def bring_forward(self, at: float) -> None:
        """Require the next Tick by `at`."""
        self.due_at = min(self.due_at, at)


def next_multiple(now: float, step_ms: float) -> float:
    """The next multiple of `step_ms` after `now`; aligned periodic tasks share one wake-up."""
    return (now // step_ms + 1.0) * step_ms


class TokenSource:
    """Generates the tokens of calls and proposals.

    A random prefix keeps a reply to an earlier process from matching a token of this one.
    """

    def __init__(self, member_id: MemberId, rng: Random) -> None:
        self._prefix = f"{member_id}:{rng.getrandbits(TOKEN_BITS):012x}"
        self._count = 0

    def next(self) -> str:
        """Return a token that was not used before."""
        self._count += 1
        return f"{self._prefix}:{self._count}"
