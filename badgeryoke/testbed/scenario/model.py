"""The typed model of a scenario: the cluster, its customers and contracts, and the faults injected.

Times are in ms.  Gateways, customers and counter parts are numbered from 1, as in a scenario file.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# States of a gateway in a rolling restart.
ROLLING_RESTART_STATES = ["granting", "pausing", "emptying", "acting", "returning", "warming"]


@dataclass(frozen=True, slots=True)
class PlanText:
    """A plan: rate in units a second, burst in units, and the same of its ceiling; 0 for none."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.0
    over_cost: float = 1.2
    price: float = 1.0


@dataclass(frozen=True, slots=True)
class CustomerGroup:
    """Customers of one kind; each customer's values are generated from the ranges."""

    count: int
    plan: str
    spread: tuple[int, int] = (3, 3)
    demand: tuple[float, float] = (0.5, 0.5)  # units requested, as a multiple of the quota's rate
    busiest: float = 0.0  # fraction of a customer's requests through one gateway; 0: even
    shifts_ms: float = 8000.0  # after which another gateway is the busiest
    units: tuple[int, int] = (1, 3)  # of a request
    retries: float = 0.0  # fraction of rejected requests retried once, after Retry-After
    misjudged: float = 0.0  # fraction of requests whose true units differ from the estimate by one


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault injected at a time; `word` names the fault and `target` what it is injected into."""

    at_ms: float
    word: str
    target: str
    groups: tuple[tuple[int, ...], ...] = ()
    amount: float = 0.0
    mode: str = ""
    line: int = 0


@dataclass(frozen=True, slots=True)
class ContractText:
    """Reserved capacity: customers by number from 1, units a second, units, and its window."""

    name: str
    customers: tuple[int, int]
    rate: float
    burst: float
    from_ms: float
    to_ms: float
    importance: int = 1  # classes from 1; the highest keeps its capacity longest


@dataclass(frozen=True, slots=True)
class RollText:
    """A rolling restart: gateways drain and restart in turn."""

    name: str
    from_ms: float
    gateways: tuple[int, ...]
    at_once: int = 1
    kill_leader: tuple[
        str, ...
    ] = ()  # states of a gateway on whose first occurrence the leader is killed (SIGKILL)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One validated scenario.  Times in ms."""

    name: str
    about: str = ""
    length_ms: float = 40_000.0
    gateways: int = 3
    started: int = 3
    watch: bool = True
    clock_skew_ms: float = 0.0
    servers: int = 10
    work_ms: tuple[float, float] = (30.0, 90.0)
    slots: int = 16
    cold: int = 0  # servers that are warming up at the start
    counter_parts: int = 1
    counter_calls: float = 1000.0
    counter_delay_ms: tuple[float, float] = (0.3, 1.9)
    counter_timeout_ms: float = 50.0
    plans: tuple[PlanText, ...] = ()
    customer_groups: tuple[CustomerGroup, ...] = ()
    faults: tuple[Fault, ...] = field(default=())
    fleet: bool = False  # whether the gateways replicate their shared state as a cluster
    copies: int = 3
    halls: int = 1
    connections: int = 0  # limit of concurrent connections to each server; 0: none
    contracts: tuple[ContractText, ...] = ()
    proposals: float = 0.0  # key-value writes a second, at random members
    rolls: tuple[RollText, ...] = ()

    @property
    def fault_period(self) -> tuple[float, float]:
        """From the first fault to the last; the complete length where there is none."""
        times = [fault.at_ms for fault in self.faults]
        if not times:
            return 0.0, self.length_ms
        return min(times), max(times) if max(times) > min(times) else self.length_ms
