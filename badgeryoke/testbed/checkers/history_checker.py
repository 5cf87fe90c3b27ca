"""The linearizability checker of the cluster's key-value entries.

It relies on nothing but the calls that the clients made.  A write swaps a register: its response is the value
before.  Each value is written once, and the history of a key has to be linearizable (Herlihy and Wing, 1990;
the search is that of Wing and Gong, 1993, with visited states cached): an answered call takes effect at one
moment between its first invocation and its response, a call of unknown outcome at some moment or never, and a
rejected call never.  A key whose search exceeds `MAX_SEARCH_STEPS` is reported as undecided, which is a
finding too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_SEARCH_STEPS = 200_000


@dataclass(slots=True)
class Operation:
    """One call with all its retries; `returned` is math.inf and `outcome` "unknown" until it is answered."""

    key: str
    id: str
    value: str | None  # None: a read
    invoked: float
    returned: float = math.inf
    outcome: str = "unknown"  # "answered", "refused" (never applied) or "unknown"
    result: str | None = None
    through: str = ""  # the member that the latest attempt was sent to


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation, by a stable name: that of an invariant, or one of the checker's own."""

    name: str
    facts: str
    at_ms: float = 0.0


@dataclass(slots=True)
class Verdict:
    """The result of checking a history."""

    acknowledged: int = 0
    lost: int = 0
    twice: int = 0
    findings: list[Finding] = field(default_factory=list)


def is_linearizable(ops: list[Operation], first: str | None = None) -> bool | None:
    """Whether some order of one key's calls explains every response; None where the search is undecided.

    An answered swap names the value that it replaced, so it alone can follow that value, after all reads of
    the value.  Only the places of writes with unknown outcome have to be searched.  An order is valid when no
    call ends before an earlier one in the order was invoked: `latest` is the last such invocation.
    """
    after: dict[str | None, Operation] = {}
    reads: dict[str | None, list[Operation]] = {}
    seen: set[str | None] = set()
    for op in sorted(ops, key=lambda op: op.invoked):
        if op.outcome != "answered":
            continue
        seen.add(op.result)
        if op.value is None:
            reads.setdefault(op.result, []).append(op)
        elif op.result in after:
            return False  # two writes replaced the same value
        else:
            after[op.result] = op
    # An unanswered write that was never observed may not have happened, and an unanswered read shows nothing.
    unknown_writes = sorted(
        (op for op in ops if op.outcome == "unknown" and op.value is not None and op.value in seen),
        key=lambda op: op.invoked,
    )
    value_count = len(seen | {op.value for op in after.values()})
    visited: dict[tuple[str | None, int], float] = {}
    stack: list[tuple[str | None, int, float, int]] = [
        (first, 0, -math.inf, 1)
    ]  # value, bit set of placed unknown writes, latest invocation, number of values
    steps = 0
    while stack:
        value, placed, latest, values = stack.pop()
        while True:
            steps += 1
            if steps > MAX_SEARCH_STEPS:
                return None
            if visited.get((value, placed), math.inf) <= latest:
                break
            visited[value, placed] = latest
            reads_fit = True
            for op in reads.get(value, ()):
                reads_fit &= op.returned >= latest
                latest = max(latest, op.invoked)
            if not reads_fit:
                break
            following = after.get(value)
            if following is None:
                if values >= value_count:
                    return True
                stack += [
                    (op.value, placed | 1 << at, max(latest, op.invoked), values + 1)
                    for at, op in reversed(list(enumerate(unknown_writes)))
                    if not placed >> at & 1
                ]
                break
            if following.returned < latest:
                break
            value, latest, values = following.value, max(latest, following.invoked), values + 1
    return False


def check_history(ops: list[Operation]) -> Verdict:
    """Check a complete history, its final reads included, key by key."""
    verdict = Verdict()
    keys: dict[str, list[Operation]] = {}
    for op in ops:
        keys.setdefault(op.key, []).append(op)
    for key, key_ops in keys.items():
        writes = [op for op in key_ops if op.value is not None]
        verdict.acknowledged += sum(op.outcome == "answered" for op in writes)
        before = [op.result for op in writes if op.outcome == "answered"]
        read = {op.result for op in key_ops if op.value is None and op.outcome == "answered"}
        known = {op.value: op for op in writes}
        for value in sorted({result for result in (*before, *read) if result is not None}):
            if value not in known:
                verdict.findings.append(Finding("made-up", f"{key}: {value!r} was never written"))
            elif known[value].outcome == "refused":
                verdict.findings.append(Finding("refused-but-taken", f"{key}: {value!r} ({known[value].id})"))
        twice = len(before) - len(set(before))
        if twice:
            verdict.twice += twice
            verdict.findings.append(Finding("twice", f"{key}: {twice} values stood before two writes each"))
        explained = is_linearizable(key_ops)
        if explained is None:
            verdict.findings.append(Finding("undecided", f"{key}: {_describe_latest(key_ops)}"))
        if explained is not False:
            continue
        lost_writes = _lost_writes(key_ops)
        verdict.lost += lost_writes
        verdict.findings.append(
            Finding("lost" if lost_writes else "not-linear", f"{key}: {_describe_latest(key_ops)}")
        )
        if not lost_writes and not twice:
            verdict.lost += 1  # a response that no order explains: an acknowledgement is wrong
    return verdict


def _lost_writes(ops: list[Operation]) -> int:
    """The least number of acknowledged writes that no write replaced and no final read shows."""
    before = {op.result for op in ops if op.value is not None and op.outcome == "answered"}
    last = max((op.invoked for op in ops if op.value is None and op.outcome == "answered"), default=math.inf)
    final = {op.result for op in ops if op.value is None and op.outcome == "answered" and op.invoked == last}
    unknown_writes = sum(op.outcome == "unknown" and op.value is not None for op in ops)
    missing = [
        op
        for op in ops
        if op.value is not None
        and op.outcome == "answered"
        and op.value not in before
        and op.value not in final
    ]
    return max(len(missing) - unknown_writes, 0) if final else 0


def _describe_latest(ops: list[Operation], max_operations: int = 14) -> str:
    latest = sorted(ops, key=lambda op: op.invoked)[-max_operations:]
    return "; ".join(
        f"{'read' if op.value is None else 'put ' + op.value} {op.invoked:.0f}..{op.returned:.0f} "
        f"{op.outcome} {op.result}"
        for op in latest
    )
