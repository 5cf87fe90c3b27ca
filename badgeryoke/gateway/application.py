"""One gateway: its parts and its life put together, with what signals, operators and the cluster ask of it."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.config.operators_file import OPERATORS_FILE
from badgeryoke.gateway.graceful_shutdown import ShutdownEvent, ShutdownState
from badgeryoke.gateway.lifecycle import Lifecycle
from badgeryoke.gateway.parts import build_parts
from badgeryoke.gateway.reload import reload_config
from badgeryoke.gateway.wall_clock import WallClock


class GatewayApplication:
    """One gateway.

    clock: Unix ms; the wall clock where none is given.
    reread: reads the configuration again for a reload, raising ConfigError; None: SIGHUP does nothing.

    Raises ConfigError where this gateway is no member of the cluster that the operators' file describes.
    """

    def __init__(
        self,
        config: Config,
        clock: Callable[[], float] | None = None,
        reread: Callable[[], Config] | None = None,
    ) -> None:
        self._reread = reread
        loop = ActorScheduler(asyncio.get_running_loop())
        self.parts = build_parts(config, loop, clock or WallClock(time.monotonic, time.time))
        self.lifecycle = Lifecycle(self.parts)
        self.done = self.lifecycle.done  # everything accepted has its response
        _check_membership(config)

    def start(self) -> None:
        """Listen, connect and watch."""
        self.lifecycle.start(self, self)

    async def run(self) -> None:
        """Serve until SIGTERM, then answer all that was accepted."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        await self.done.wait()
        await self.lifecycle.cancel_tasks()

    def reload(self) -> None:
        """SIGHUP: read the configuration again and go by its settings and addresses."""
        if self._reread is not None:
            reload_config(self.parts, self._reread)

    def end(self) -> None:
        """SIGTERM: answer everything, then end."""
        self.lifecycle.terminate()

    # What the operators may ask (admin.server.AdminOperations), and the cluster (DrainableGateway).

    def status(self) -> tuple[bool, str]:
        """Whether this process can serve, and its state: an ending one cannot, a drained one could."""
        shutdown, listening = self.lifecycle.shutdown, self.lifecycle.listening
        if shutdown.ending:
            return False, shutdown.state.value
        if not self.parts.discovery.has_list:
            return False, "no list of servers yet"
        return listening, shutdown.state.value if listening else "taking over"

    @property
    def drained(self) -> bool:
        """Clients are rejected, and the load balancer has had time to notice."""
        return self.lifecycle.shutdown.state is ShutdownState.PAUSED

    @property
    def unanswered(self) -> int:
        """How many requests have no final response yet."""
        return self.parts.dispatcher.unanswered

    def pause(self) -> str:
        """Send clients away, without an end of the process; gives why not, or nothing."""
        self.lifecycle.post(ShutdownEvent.PAUSE)
        return ""

    def resume(self) -> str:
        """Accept clients again; gives why not, or nothing."""
        shutdown = self.lifecycle.shutdown
        if shutdown.ending:
            return f"it is {shutdown.state.value}, and does not come back"
        self.lifecycle.post(ShutdownEvent.RESUME)
        return ""

    def metrics(self) -> str:
        """The metrics, one a line."""
        from badgeryoke.gateway.admin.rendering import (  # loaded only where it is asked for
            Gauges,
            render_metrics,
        )

        dispatcher = self.parts.dispatcher
        upstreams = len(self.parts.upstreams.by_number)
        return render_metrics(
            dispatcher.metrics, Gauges(dispatcher.unanswered, upstreams, dispatcher.unavailable_server_count)
        )

    @property
    def fleet_on(self) -> bool:
        """Whether this gateway is a member of a cluster."""
        return self.parts.cluster is not None

    async def fleet_call(self, call: bytes) -> bytes:
        """One call for the cluster, JSON in and out (badgeryoke.gateway.cluster.admin_calls)."""
        if self.parts.cluster is None:
            return b"-ERR fleet is off: [fleet] in deploy/badgeryoke.toml switches it on\n"
        return await self.parts.cluster.answer(call)


def _check_membership(config: Config) -> None:
    """Raises ConfigError where the cluster is on and this gateway is none of its members."""
    settings = config.operators.fleet
    if settings is None:
        return
    name = settings.me or config.name
    if all(member.name != name for member in settings.members):
        raise ConfigError(f"{OPERATORS_FILE}: fleet.me: {name!r} is no member")
