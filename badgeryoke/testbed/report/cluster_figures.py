"""The figures of a fleet's run, in simulated time and with real processes alike."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any


@dataclass(slots=True)
class FleetFigures:
    """None: does not apply to the run.  Shares are parts of 1."""

    promises_acknowledged: int | None = None
    promises_lost: int | None = None
    promises_twice: int | None = None
    leaders_in_a_term: int | None = None  # the most, over all groups
    unavailable_ms: float | None = None  # longest without an acknowledgement while a majority was joined
    copies_restored_ms: float | None = None  # the longest, from a loss until all copies are whole again
    # least share of a contract's rate served over a second that asked for it
    contract_floor: float | None = None
    contract_over: float | None = None  # most by which leases passed the contract, units a second
    shortfall_error: float | None = None  # told against true units short
    lent_share: float | None = None  # capacity used of that offered while reserved capacity was idle
    connections_over: int | None = None  # most beyond a server's limit
    roll_state: str | None = None
    roll_lost: int | None = None  # queries without an answer by the roll
    invariants_broken: int | None = None
    roll_ratio: float | None = None  # a roll's time to the least that the limits allow

    def to_dict(self) -> dict[str, Any]:
        """As plain values, rounded, in a fixed order."""
        return {
            key: round(value, 4) if isinstance(value, float) else value for key, value in asdict(self).items()
        }

    def violations(self) -> list[str]:
        """The keys that break a promise whatever was done to the fleet."""
        found = [
            key
            for key in (
                "promises_lost",
                "promises_twice",
                "connections_over",
                "roll_lost",
                "invariants_broken",
            )
            if getattr(self, key)
        ]
        if (self.leaders_in_a_term or 0) > 1:
            found.append("leaders_in_a_term")
        if (self.contract_over or 0.0) > 1e-6:
            found.append("contract_over")
        return found


LOW_IS_BAD = ("promises_acknowledged", "contract_floor", "lent_share")


def worst_and_median(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Worst and median of each figure over many runs."""
    made: dict[str, dict[str, Any]] = {}
    for key in FleetFigures.__dataclass_fields__:
        known = sorted(row[key] for row in rows if row[key] is not None)
        if not known:
            made[key] = {"worst": None, "median": None}
        elif key == "roll_state":
            made[key] = {state: known.count(state) for state in dict.fromkeys(known)}
        else:
            made[key] = {"worst": known[0 if key in LOW_IS_BAD else -1], "median": known[len(known) // 2]}
    return made
