"""The bound on the responses that a gateway buffers for RESP2 clients.  No I/O.

Responses are sent in the order of the requests, so the response to a pipelined request may have to wait for an
earlier one.  A pipelined request is started only if there is room for its response beside those that are buffered or
expected already; until then its client is held back, and nothing that was accepted has to be discarded.
"""

from __future__ import annotations

from badgeryoke.gateway.resp.codec import MAX_BULK_BYTES

# The size expected of a response is the largest recent one: it falls by this factor with each smaller response.
EXPECTATION_DECAY = 0.95
# Lower bound of the size expected, about the memory that a request in flight takes by itself.
MIN_EXPECTED_BYTES = 4 * 1024


class ResponseBudget:
    """The bytes that may be held for responses, shared by all connections of a listener."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._expected_bytes = float(MAX_BULK_BYTES)
        self.held_bytes = 0  # of buffered responses and of those expected

    @property
    def expected_bytes(self) -> int:
        """The size expected of the response to a request that starts now."""
        return int(self._expected_bytes)

    def may_start(self, held_by_connection: int) -> bool:
        """Whether a connection that holds this many bytes may start one more pipelined request.

        A connection may hold no more than is free, so that no single one can use up the budget.
        """
        free_bytes = self._max_bytes - self.held_bytes
        return held_by_connection + self.expected_bytes <= free_bytes

    def hold(self, change_bytes: int) -> None:
        """Add to the bytes held; a negative number releases them."""
        self.held_bytes += change_bytes

    def record_size(self, response_bytes: int) -> None:
        """Take a response's size into account for the requests that start later."""
        decayed_bytes = max(self._expected_bytes * EXPECTATION_DECAY, MIN_EXPECTED_BYTES)
        self._expected_bytes = max(float(response_bytes), decayed_bytes)


class BudgetShare:
    """What one connection holds of the budget."""

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self._held_bytes = 0
        self._closed = False

    def may_start(self) -> bool:
        """Whether the connection may start one more pipelined request."""
        return self._budget.may_start(self._held_bytes)

    def expect_response(self) -> int:
        """Hold the size expected of a response, for `response_ready` or `release`; returns it."""
        expected_bytes = self._budget.expected_bytes
        self._hold(expected_bytes)
        return expected_bytes

    def response_ready(self, expected_bytes: int, response_bytes: int) -> None:
        """Hold the size of a response in place of the size expected of it."""
        self._hold(response_bytes - expected_bytes)

    def release(self, size: int) -> None:
        """Release bytes that have been sent, or a response that is not buffered as a whole."""
        self._hold(-size)

    def close(self) -> None:
        """Release everything: the connection has closed, and later calls change nothing."""
        self._hold(-self._held_bytes)
        self._closed = True

    def _hold(self, change_bytes: int) -> None:
        if not self._closed:
            self._held_bytes += change_bytes
            self._budget.hold(change_bytes)
