"""The states of the counter, the symptoms that replies show, and the state machine between them.

The values of both enumerations are logged and stored in results, so they must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CounterState(Enum):
    """The presumed state of the counter, as seen by one gateway."""

    UNKNOWN = "unknown"
    HEALTHY = "sound"
    SLOW = "slow"
    DEAD = "dead"
    GATEWAY_HIDDEN = "missing"  # a gateway is hidden; not decided yet whether by a partition
    GATEWAY_DEAD = "absent"  # the hidden gateway is presumed dead: its clients have moved here
    PARTITIONED = "split"
    DATA_LOST = "swapped"
    HEALED = "healed"


class Symptom(Enum):
    """What the last replies show, in order of falling severity."""

    UNREACHABLE = "no answers"
    DATA_LOST = "own units gone"
    ALL_HIDDEN = "all others out of sight"
    SOME_HIDDEN = "some out of sight"
    HIDDEN_CLIENTS_MOVED = "out of sight, and their clients here"
    HIDDEN_CLIENTS_STAYED = "out of sight for long, and their clients not here"
    SLOW_REPLIES = "late answers"
    HEALTHY = "all in sight, in time"


_FAULT_TRANSITIONS = {
    Symptom.UNREACHABLE: CounterState.DEAD,
    Symptom.DATA_LOST: CounterState.DATA_LOST,
    Symptom.ALL_HIDDEN: CounterState.PARTITIONED,
    Symptom.SOME_HIDDEN: CounterState.GATEWAY_HIDDEN,
    Symptom.HIDDEN_CLIENTS_MOVED: CounterState.GATEWAY_DEAD,
    Symptom.HIDDEN_CLIENTS_STAYED: CounterState.PARTITIONED,
}
_TO_HEALTHY = {
    **_FAULT_TRANSITIONS,
    Symptom.SLOW_REPLIES: CounterState.SLOW,
    Symptom.HEALTHY: CounterState.HEALTHY,
}
_TO_HEALED = {**_TO_HEALTHY, Symptom.HEALTHY: CounterState.HEALED}
TRANSITIONS: dict[CounterState, dict[Symptom, CounterState]] = {
    CounterState.UNKNOWN: _TO_HEALTHY,
    CounterState.HEALTHY: _TO_HEALTHY,
    CounterState.SLOW: _TO_HEALTHY,
    CounterState.DEAD: _TO_HEALED,
    CounterState.GATEWAY_HIDDEN: _TO_HEALED,
    CounterState.GATEWAY_DEAD: {**_TO_HEALTHY, Symptom.SOME_HIDDEN: CounterState.GATEWAY_DEAD},
    CounterState.PARTITIONED: {
        **_TO_HEALED,
        Symptom.SOME_HIDDEN: CounterState.PARTITIONED,
        Symptom.SLOW_REPLIES: CounterState.HEALED,
    },
    CounterState.DATA_LOST: _TO_HEALTHY,
    CounterState.HEALED: _TO_HEALTHY,
}


@dataclass(frozen=True, slots=True)
class CounterStateChange:
    """A state transition, for the log and the testbed."""

    at_ms: float
    old: CounterState
    new: CounterState
    symptom: Symptom
    hidden: tuple[int, ...]
