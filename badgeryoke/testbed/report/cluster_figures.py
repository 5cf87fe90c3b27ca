"""The figures of a cluster's run, in simulated time or with real processes."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any


@dataclass(slots=True)
class FleetFigures:
    """The figures of one run; None where a figure does not apply.  Shares are fractions."""

    promises_acknowledged: int | None = None
    promises_lost: int | None = None
    promises_twice: int | None = None
    leaders_in_a_term: int | None = None  # the largest number, over all groups and terms
    # longest time without an acknowledgement while a majority was connected
    unavailable_ms: float | None = None
    # longest time from the loss of a member until all copies are complete again
    copies_restored_ms: float | None = None
    # smallest fraction of a contract's rate served in a second in which it was requested
    contract_floor: float | None = None
    contract_over: float | None = None  # largest excess of the leases over the contract, units a second
    shortfall_error: float | None = None  # relative error of the reported short units
    lent_share: float | None = None  # used fraction of the reserved capacity that was lent while idle
    connections_over: int | None = None  # largest excess over a server's connection limit
    roll_state: str | None = None
    roll_lost: int | None = None  # requests left unanswered because of a rolling restart
    invariants_broken: int | None = None
    # duration of a rolling restart relative to the shortest that its limits allow
    roll_ratio: float | None = None

    def to_dict(self) -> dict[str, Any]:
        """The figures as JSON values, rounded, in a fixed order."""
        return {
            key: round(value, 4) if isinstance(value, float) else value for key, value in asdict(self).items()
        }

    def violations(self) -> list[str]:
        """The figures that violate a guarantee, which has to hold under any fault."""
        keys = [
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
            keys.append("leaders_in_a_term")
        if (self.contract_over or 0.0) > 1e-6:
            keys.append("contract_over")
        return keys


LOWER_IS_WORSE = ("promises_acknowledged", "contract_floor", "lent_share")


def worst_and_median(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Worst and median value of each figure over many runs."""
    summary: dict[str, dict[str, Any]] = {}
    for key in FleetFigures.__dataclass_fields__:
        values = sorted(row[key] for row in rows if row[key] is not None)
        if not values:
            summary[key] = {"worst": None, "median": None}
        elif key == "roll_state":
            summary[key] = {state: values.count(state) for state in dict.fromkeys(values)}
        else:
            summary[key] = {
                "worst": values[0 if key in LOWER_IS_WORSE else -1],
                "median": values[len(values) // 2],
            }
    return summary
