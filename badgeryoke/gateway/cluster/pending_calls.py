"""Operations that were submitted to the node and are not completed yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from badgeryoke.cluster.errors import ClusterError


class PendingCalls:
    """Matches results to operations by token.

    A result is `Any`, as in `OperationCompleted`: its type depends on the command.
    """

    def __init__(self, token_prefix: str) -> None:
        self._token_prefix = token_prefix
        self._last_token_number = 0
        self._futures: dict[str, asyncio.Future[Any]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    async def wait_for_result(self, submit: Callable[[str], None]) -> Any:
        """Call `submit` with a new token, and wait for the result; there is no timeout."""
        self._last_token_number += 1
        token = f"{self._token_prefix}.{self._last_token_number}"
        future = self._futures[token] = asyncio.get_running_loop().create_future()
        try:
            submit(token)
            return await future
        finally:
            self._futures.pop(token, None)

    def complete(self, token: str, result: Any) -> None:
        """Set the result of an operation; ignored if nothing waits for it any more."""
        future = self._futures.pop(token, None)
        if future is not None and not future.done():
            future.set_result(result)

    def complete_all(self, error: ClusterError) -> None:
        """Complete all operations with an error."""
        for token in list(self._futures):
            self.complete(token, error)
