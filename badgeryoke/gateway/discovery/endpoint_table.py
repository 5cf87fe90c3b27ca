"""The endpoints known at present, each with the number by which the decision module knows it."""

from __future__ import annotations

from badgeryoke.decisions.interface import EndpointList, EndpointState, ListScope, Server
from badgeryoke.gateway.discovery.endpoint_list import Endpoint, EndpointSnapshot

# The numbers of endpoints that are gone are forgotten once there are more numbers than this plus so many
# for each endpoint present: one that returns soon keeps its number, and the table stays bounded.
SPARE_NUMBERS, NUMBERS_PER_ENDPOINT = 64, 4


class EndpointTable:
    """Applies endpoint snapshots; an endpoint keeps its number across snapshots."""

    __slots__ = ("_endpoints", "_last_number", "numbers")

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # by discovery's id
        self._last_number = 0
        self._endpoints: dict[int, Endpoint] = {}

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """A copy of the endpoints that are not gone, by number."""
        return dict(self._endpoints)

    def apply(self, snapshot: EndpointSnapshot, scope: ListScope) -> EndpointList:
        """Take in a snapshot; returns it in the decision module's terms."""
        endpoints = dict(self._endpoints) if scope is ListScope.CHANGES else {}
        servers = []
        for endpoint in snapshot.endpoints:
            number = self._number_of(endpoint.id)
            endpoints[number] = endpoint
            servers.append(
                Server(
                    number,
                    endpoint.zone,
                    endpoint.kind,
                    endpoint.cell,
                    endpoint.state,
                    endpoint.weight,
                    endpoint.started_ms,
                )
            )
        self._endpoints = {
            number: endpoint
            for number, endpoint in endpoints.items()
            if endpoint.state is not EndpointState.GONE
        }
        self._forget_gone()
        return EndpointList(scope, tuple(servers))

    def _number_of(self, endpoint_id: str) -> int:
        number = self.numbers.get(endpoint_id)
        if number is None:
            self._last_number += 1
            number = self.numbers[endpoint_id] = self._last_number
        return number

    def _forget_gone(self) -> None:
        if len(self.numbers) > SPARE_NUMBERS + NUMBERS_PER_ENDPOINT * len(self._endpoints):
            self.numbers = {
                name: number for name, number in self.numbers.items() if number in self._endpoints
            }
