"""The referee of a fleet's promises: it believes only the calls that it saw, the messages on the network, and
the disks.

A promise swaps a register: the answer is the value before.  Each value is written once, so the history of a
key has to be linear (Herlihy and Wing, 1990; searched as by Wing and Gong, 1993, with a memory of what was
tried): every answered call takes effect at one moment between its first invocation and its answer, one of
unknown outcome at some moment or never, and one that was refused never.  A key whose search passes
`MOST_STEPS` is told as undecided, which is not good.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MOST_STEPS = 200_000


@dataclass(slots=True)
class Op:
    """One call with all its repeats.  `returned` is math.inf and `fate` "unknown" until it is answered."""

    key: str
    id: str
    value: str | None  # None: a read
    invoked: float
    returned: float = math.inf
    fate: str = "unknown"  # "answered", "refused" (never taken) or "unknown"
    result: str | None = None
    through: str = ""  # the last member that was asked


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong, by a name that stays: a Rule's, or one of the referee's own."""

    name: str
    facts: str
    at_ms: float = 0.0


@dataclass(slots=True)
class Verdict:
    """What a history comes to."""

    acknowledged: int = 0
    lost: int = 0
    twice: int = 0
    findings: list[Finding] = field(default_factory=list)


def linear(ops: list[Op], first: str | None = None) -> bool | None:
    """Whether the calls of one key can be put in an order that explains every answer; None: undecided.

    An answered swap names the value that it took the place of, so it alone can come next where that value
    stands, and all reads of the value lie between.  What is searched is only where writes of unknown outcome
    go.  An order is good when no call ends before one that stands earlier in it was invoked: `latest` is the
    last such invocation.
    """
    after: dict[str | None, Op] = {}
    reads: dict[str | None, list[Op]] = {}
    seen: set[str | None] = set()
    for op in sorted(ops, key=lambda op: op.invoked):
        if op.fate != "answered":
            continue
        seen.add(op.result)
        if op.value is None:
            reads.setdefault(op.result, []).append(op)
        elif op.result in after:
            return False  # one value stood before two writes
        else:
            after[op.result] = op
    # An unanswered write that nobody saw may have been no write at all, and an unanswered read says nothing.
    loose = sorted(
        (op for op in ops if op.fate == "unknown" and op.value is not None and op.value in seen),
        key=lambda op: op.invoked,
    )
    wanted = len(seen | {op.value for op in after.values()})
    tried: dict[tuple[str | None, int], float] = {}
    stack: list[tuple[str | None, int, float, int]] = [
        (first, 0, -math.inf, 1)
    ]  # value, loose placed, latest, values
    steps = 0
    while stack:
        value, placed, latest, values = stack.pop()
        while True:
            steps += 1
            if steps > MOST_STEPS:
                return None
            if tried.get((value, placed), math.inf) <= latest:
                break
            tried[value, placed] = latest
            good = True
            for op in reads.get(value, ()):
                good &= op.returned >= latest
                latest = max(latest, op.invoked)
            if not good:
                break
            following = after.get(value)
            if following is None:
                if values >= wanted:
                    return True
                stack += [
                    (op.value, placed | 1 << at, max(latest, op.invoked), values + 1)
                    for at, op in reversed(list(enumerate(loose)))
                    if not placed >> at & 1
                ]
                break
            if following.returned < latest:
                break
            value, latest, values = following.value, max(latest, following.invoked), values + 1
    return False


def judge(ops: list[Op]) -> Verdict:
    """The whole history, the reads at the end among it, key by key."""
    made = Verdict()
    keys: dict[str, list[Op]] = {}
    for op in ops:
        keys.setdefault(op.key, []).append(op)
    for key, mine in keys.items():
        writes = [op for op in mine if op.value is not None]
        made.acknowledged += sum(op.fate == "answered" for op in writes)
        before = [op.result for op in writes if op.fate == "answered"]
        read = {op.result for op in mine if op.value is None and op.fate == "answered"}
        known = {op.value: op for op in writes}
        for value in sorted({one for one in (*before, *read) if one is not None}):
            if value not in known:
                made.findings.append(Finding("made-up", f"{key}: {value!r} was never written"))
            elif known[value].fate == "refused":
                made.findings.append(Finding("refused-but-taken", f"{key}: {value!r} ({known[value].id})"))
        twice = len(before) - len(set(before))
        if twice:
            made.twice += twice
            made.findings.append(Finding("twice", f"{key}: {twice} values stood before two writes each"))
        explained = linear(mine)
        if explained is None:
            made.findings.append(Finding("undecided", f"{key}: {_tail(mine)}"))
        if explained is not False:
            continue
        gone = _gone(mine)
        made.lost += gone
        made.findings.append(Finding("lost" if gone else "not-linear", f"{key}: {_tail(mine)}"))
        if not gone and not twice:
            made.lost += 1  # an answer that no order explains: something told is not so
    return made


def _gone(ops: list[Op]) -> int:
    """Acknowledged writes that no write took the place of and no last read shows, at the least."""
    before = {op.result for op in ops if op.value is not None and op.fate == "answered"}
    last = max((op.invoked for op in ops if op.value is None and op.fate == "answered"), default=math.inf)
    final = {op.result for op in ops if op.value is None and op.fate == "answered" and op.invoked == last}
    open_ones = sum(op.fate == "unknown" and op.value is not None for op in ops)
    left = [
        op
        for op in ops
        if op.value is not None and op.fate == "answered" and op.value not in before and op.value not in final
    ]
    return max(len(left) - open_ones, 0) if final else 0


def _tail(ops: list[Op], most: int = 14) -> str:
    told = sorted(ops, key=lambda op: op.invoked)[-most:]
    return "; ".join(
        f"{'read' if op.value is None else 'put ' + op.value} {op.invoked:.0f}..{op.returned:.0f} "
        f"{op.fate} {op.result}"
        for op in told
    )
