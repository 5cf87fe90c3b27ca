"""Actors: each has a mailbox, and handles its messages in order, without locks, on the event loop.

Sockets belong to `badgeryoke.gateway.connecting`, the gateway's clock to `badgeryoke.gateway.wall_clock`.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)


class EventLoop(Protocol):
    """What the actors use of the event loop; tests put a loop with a clock of their own in its place.

    Arguments are Any, as in asyncio: a callback and what it is to be given belong together.
    """

    def call_soon(self, callback: Callable[..., object], *args: Any) -> asyncio.Handle:
        """Call back in the next round of the loop."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
        """Call back after `delay` seconds."""

    def time(self) -> float:
        """The loop's own clock, seconds."""


class ActorScheduler:
    """The event loop, and the actors that have messages.

    One callback goes round all actors until none has any: what one actor posts to the next is handled in the
    same round of the event loop, since a round of its own for each would cost more than the handling.
    """

    MAX_BATCHES_PER_CALLBACK = 10_000  # so that connections and timers are not kept waiting

    def __init__(self, loop: EventLoop) -> None:
        self.call_soon, self.call_later, self.time = loop.call_soon, loop.call_later, loop.time
        self._ready: deque[Actor] = deque()
        self._scheduled = self._running = False

    def mark_ready(self, actor: Actor) -> None:
        """An actor has messages."""
        self._ready.append(actor)
        if not self._scheduled and not self._running:
            self._scheduled = True
            self.call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._scheduled = False
        self.run()

    def run(self) -> None:
        """Let each actor that has messages handle them."""
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
    """Messages come in with post() and are handled in order; nobody else touches the actor's state."""

    def __init__(self, loop: ActorScheduler) -> None:
        self._loop = loop
        # Any: a handler and its own arguments.  A type for each message would cost an object a message.
        self._mailbox: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def post(self, handler: Callable[..., None], *args: Any) -> None:
        """Leave a message: the handler and what it is to be given."""
        if not self._mailbox:
            self._loop.mark_ready(self)
        self._mailbox.append((handler, args))

    def deliver(self, handler: Callable[..., None], *args: Any) -> None:
        """The same from a callback of the event loop: the actors run at once."""
        self.post(handler, *args)
        self._loop.run()

    def process_mailbox(self) -> None:
        """Handle one batch: all messages that are there now.  Later ones wait for the actor's next batch."""
        mailbox = self._mailbox
        for _ in range(len(mailbox)):
            handler, args = mailbox[0]
            try:
                handler(*args)
            except Exception:  # one message must not cost those behind it
                log.exception("message failed: %s", handler.__qualname__)
            mailbox.popleft()
        try:
            self.batch_ended()
        except Exception:  # of one actor: the others must get their messages
            log.exception("end of batch failed: %s", type(self).__name__)
        if mailbox:
            self._loop.mark_ready(self)

    def batch_ended(self) -> None:
        """Called once after each batch: the place to write what the batch has gathered."""
