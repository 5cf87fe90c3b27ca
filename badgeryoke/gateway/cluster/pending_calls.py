"""Operations that the node was asked for and has not completed yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from badgeryoke.cluster.errors import ClusterError


class PendingCalls:
    """Each operation has a token, by which its result is matched.

    Results are `Any`: what the state machine gives for a command, as in `OperationCompleted`.
    """

    def __init__(self, token_prefix: str) -> None:
        self._token_prefix = token_prefix
        self._last_token_number = 0
        self._futures: dict[str, asyncio.Future[Any]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    async def wait_for_result(self, submit: Callable[[str], None]) -> Any:
        """Hand a new token to `submit`, and wait for the result; without a timeout of its own."""
        self._last_token_number += 1
        token = f"{self._token_prefix}.{self._last_token_number}"
        future = self._futures[token] = asyncio.get_running_loop().create_future()
        try:
            submit(token)
            return await future
        finally:
            self._futures.pop(token, None)

    def complete(self, token: str, result: Any) -> None:
        """The result of an operation; ignored where nobody waits for it any more."""
        future = self._futures.pop(token, None)
        if future is not None and not future.done():
            future.set_result(result)

    def complete_all(self, error: ClusterError) -> None:
        """End all operations with an error."""
        for token in list(self._futures):
            self.complete(token, error)
