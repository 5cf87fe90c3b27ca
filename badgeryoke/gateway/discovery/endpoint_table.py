"""The current endpoints, each with its server number in the decision module."""

from __future__ import annotations

from badgeryoke.decisions.interface import EndpointList, EndpointState, ListScope, Server
from badgeryoke.gateway.discovery.endpoint_list import Endpoint, EndpointSnapshot

# The numbers of endpoints that are gone are dropped once there are more numbers than SPARE_NUMBERS plus
# NUMBERS_PER_ENDPOINT for each present endpoint: one that returns soon keeps its number, and the table stays bounded.
SPARE_NUMBERS, NUMBERS_PER_ENDPOINT = 64, 4


class EndpointTable:
    """Applies endpoint snapshots; an endpoint keeps its number across snapshots."""

    __slots__ = ("_endpoints", "_last_number", "numbers")

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # by the endpoint's id in discovery
        self._last_number = 0
        self._endpoints: dict[int, Endpoint] = {}

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """A copy of the endpoints that are not gone, by number."""
        return dict(self._endpoints)

    def apply(self, snapshot: EndpointSnapshot, scope: ListScope) -> EndpointList:
        """Apply a snapshot; returns it as an event for the decision module."""
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
        self._drop_gone_numbers()
        return EndpointList(scope, tuple(servers))

    def _number_of(self, endpoint_id: str) -> int:
        number = self.numbers.get(endpoint_id)
        if number is None:
            self._last_number += 1
            number = self.numbers[endpoint_id] = self._last_number
        return number

    def _drop_gone_numbers(self) -> None:
        if len(self.numbers) > SPARE_NUMBERS + NUMBERS_PER_ENDPOINT * len(self._endpoints):
            self.numbers = {
                name: number for name, number in self.numbers.items() if number in self._endpoints
            }
