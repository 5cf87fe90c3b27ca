"""The validated configuration of a gateway."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from badgeryoke.decisions.interface import Settings
from badgeryoke.gateway.address import Address
from badgeryoke.gateway.config.file_shape import FileShape
from badgeryoke.gateway.config.operators_file import Operators
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot


@dataclass(frozen=True, slots=True)
class DiameterConfig:
    """The Diameter listener and the Diameter servers, as deploy/diameter.toml describes them."""

    listen: Address | None  # None: no listener, only Diameter servers
    origin_host: str
    origin_realm: str
    plans: Mapping[int, str]  # the plan of each Service-Identifier
    server_kinds: frozenset[str]  # the endpoint list's kinds of servers that speak Diameter
    clients: frozenset[str]  # the Origin-Hosts that may connect; empty: any
    deadline_ms: float  # how long clients wait for a CCA (their Tx timer); 0: the class's deadline
    watchdog_s: float
    answers_kept_s: float  # how long an answer is cached for retransmissions
    # The request class of CHECK_BALANCE; None: the first idempotent class of the settings.
    check_class: str | None = None
    # The request class of DIRECT_DEBITING; None: the first that takes an idempotency key.
    debit_class: str | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of a gateway; a field that holds the value of a file's key has that key's name."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None  # address of the quota counter; None: there is no counter
    seed: int
    sockets: int  # file descriptors that may be in use for connections
    memory_mb: float
    known: EndpointSnapshot | None  # the cached endpoint list, used until discovery answers
    settings: Settings
    report_names: tuple[str, ...]  # the fields of the load reports that come with answers
    connect_ms: float  # the timeout for connecting to a server
    idle_ms: float  # how long a server keeps an idle connection
    drain_s: float  # time from SIGTERM or PAUSE until connections are closed
    mgmt: Address | None = None  # the admin address; None: no admin server
    folder: str | None = None  # shared by both processes of a hot restart, where the socket is inherited
    file_shape: FileShape = None  # the keys of the platform's file
    socket_fd: int | None = None  # the clients' listening socket, inherited from the platform
    diameter: DiameterConfig | None = field(default=None)
    operators: Operators = field(default_factory=Operators)
