"""Actors on the event loop: each handles the messages of its mailbox in order, without locks.

For sockets see `badgeryoke.gateway.connecting`, for the gateway's clock `badgeryoke.gateway.wall_clock`.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)


class EventLoop(Protocol):
    """The part of asyncio's event loop that actors use; tests substitute a loop with a simulated clock.

    Callback arguments are Any, as in asyncio: their types depend on the callback.
    """

    def call_soon(self, callback: Callable[..., object], *args: Any) -> asyncio.Handle:
        """Call `callback` in the next iteration of the loop."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
        """Call `callback` after `delay` seconds."""

    def time(self) -> float:
        """The loop's clock, in seconds."""


class ActorScheduler:
    """Runs the actors that have messages on the event loop.

    One loop callback runs the ready actors until no mailbox has messages, so that a message from one actor to
    another is handled in the same loop iteration: one iteration per message would cost more than the handling.
    """

    MAX_BATCHES_PER_CALLBACK = 10_000  # bounds how long connections and timers wait

    def __init__(self, loop: EventLoop) -> None:
        self.call_soon, self.call_later, self.time = loop.call_soon, loop.call_later, loop.time
        self._ready: deque[Actor] = deque()
        self._scheduled = self._running = False

    def mark_ready(self, actor: Actor) -> None:
        """Queue an actor that has messages."""
        self._ready.append(actor)
        if not self._scheduled and not self._running:
            self._scheduled = True
            self.call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._scheduled = False
        self.run()

    def run(self) -> None:
        """Run the actors that have messages."""
        if self._running:
            return
        self._running = True
        try:
            for _ in range(self.MAX_BATCHES_PER_CALLBACK):
                if not self._ready:
                    return
                self._ready.popleft().process_mailbox()
        finally:
            self._running = False
            if self._ready and not self._scheduled:
                self._scheduled = True
                self.call_soon(self._run_scheduled)


class Actor:
    """Handles posted messages in order; only its own handlers change its state."""

    def __init__(self, loop: ActorScheduler) -> None:
        self._loop = loop
        # Any: each handler has its own arguments.  A class for each message type would cost an object per message.
        self._mailbox: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def post(self, handler: Callable[..., None], *args: Any) -> None:
        """Add a message to the mailbox: a handler and its arguments."""
        if not self._mailbox:
            self._loop.mark_ready(self)
        self._mailbox.append((handler, args))

    def deliver(self, handler: Callable[..., None], *args: Any) -> None:
        """Post a message from a callback of the event loop, and run the actors at once."""
        self.post(handler, *args)
        self._loop.run()

    def process_mailbox(self) -> None:
        """Handle one batch: all messages in the mailbox now.  Later ones wait for the actor's next batch."""
        mailbox = self._mailbox
        for _ in range(len(mailbox)):
            handler, args = mailbox[0]
            try:
                handler(*args)
            except Exception:  # a failing message must not block the messages behind it
                log.exception("message handler failed: %s", handler.__qualname__)
            mailbox.popleft()
        try:
            self.batch_ended()
        except Exception:  # a failing actor must not keep the others from running
            log.exception("end-of-batch hook failed: %s", type(self).__name__)
        if mailbox:
            self._loop.mark_ready(self)

    def batch_ended(self) -> None:
        """Hook that is called once after each batch, to write the output that the batch has collected."""
