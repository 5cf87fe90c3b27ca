"""The bound on incomplete commands of RESP2 clients.  No I/O.

A long command is received only once there is room for all of it; until then its connection is not read, and the
client's system holds the rest back.  Short commands need no room.
"""

from __future__ import annotations

from collections.abc import Callable

SHORT_COMMAND_BYTES = 4096  # commands up to this size are received without a reservation


class RequestBudget:
    """The bytes that may be held for long commands while they are received, given in the order of the requests."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0
        self._waiting: dict[RequestReservation, None] = {}

    def _has_room(self, size: int) -> bool:
        return self.held_bytes + size <= self._max_bytes or not self.held_bytes

    def reserve(self, reservation: RequestReservation) -> None:
        """Grant a reservation now, or when it is the first that waits and there is room."""
        self._waiting[reservation] = None
        self._grant()

    def release(self, reservation: RequestReservation) -> None:
        """End a reservation, granted or not."""
        self._waiting.pop(reservation, None)
        if reservation.granted:
            reservation.granted = False
            self.held_bytes -= reservation.size
        self._grant()

    def _grant(self) -> None:
        while self._waiting:
            reservation = next(iter(self._waiting))
            if not self._has_room(reservation.size):
                return
            del self._waiting[reservation]
            self.held_bytes += reservation.size
            reservation.granted = True
            reservation.on_granted()


class RequestReservation:
    """The room for one command, granted or waited for."""

    __slots__ = ("granted", "on_granted", "size")

    def __init__(self, size: int, on_granted: Callable[[], None]) -> None:
        self.size, self.on_granted, self.granted = size, on_granted, False
