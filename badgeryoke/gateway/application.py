"""One gateway process: connects its parts and lifecycle to signals, to operators' calls and to the cluster."""

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

    clock: Unix ms; None: the wall clock.
    read_new_config: reads the configuration for a reload, may raise ConfigError; None: SIGHUP does nothing.

    Raises ConfigError if this gateway is not a member of the cluster that the operators' file describes.
    """

    def __init__(
        self,
        config: Config,
        clock: Callable[[], float] | None = None,
        read_new_config: Callable[[], Config] | None = None,
    ) -> None:
        self._read_new_config = read_new_config
        loop = ActorScheduler(asyncio.get_running_loop())
        self.parts = build_parts(config, loop, clock or WallClock(time.monotonic, time.time))
        self.lifecycle = Lifecycle(self.parts)
        self.done = self.lifecycle.done  # set once all accepted requests are answered
        _check_membership(config)

    def start(self) -> None:
        """Start to listen, to connect, and to watch discovery."""
        self.lifecycle.start(self, self)

    async def run(self) -> None:
        """Serve until SIGTERM, then answer all accepted requests."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        await self.done.wait()
        await self.lifecycle.cancel_tasks()

    def reload(self) -> None:
        """SIGHUP: read the configuration again and apply its settings and addresses."""
        if self._read_new_config is not None:
            reload_config(self.parts, self._read_new_config)

    def end(self) -> None:
        """SIGTERM: start the graceful shutdown."""
        self.lifecycle.terminate()

    # The interfaces for operators (admin.calls.AdminOperations) and for the cluster (DrainableGateway).

    def status(self) -> tuple[bool, str]:
        """Whether this process can serve, and its state; one that shuts down cannot serve, a drained one can."""
        shutdown, listening = self.lifecycle.shutdown, self.lifecycle.listening
        if shutdown.ending:
            return False, shutdown.state.value
        if not self.parts.discovery.has_list:
            return False, "no list of servers yet"
        return listening, shutdown.state.value if listening else "taking over"

    @property
    def drained(self) -> bool:
        """Whether clients are rejected and the load balancer has had time to notice."""
        return self.lifecycle.shutdown.state is ShutdownState.PAUSED

    @property
    def unanswered(self) -> int:
        """The number of requests without a final response."""
        return self.parts.dispatcher.unanswered

    def pause(self) -> str:
        """Reject clients but keep running; returns the reason if that is impossible, or an empty string."""
        self.lifecycle.post(ShutdownEvent.PAUSE)
        return ""

    def resume(self) -> str:
        """Accept clients again; returns the reason if that is impossible, or an empty string."""
        shutdown = self.lifecycle.shutdown
        if shutdown.ending:
            return f"it is {shutdown.state.value}, and does not come back"
        self.lifecycle.post(ShutdownEvent.RESUME)
        return ""

    def metrics(self) -> str:
        """The metrics, one per line."""
        from badgeryoke.gateway.admin.rendering import (  # loaded only when metrics are requested
            Gauges,
            render_metrics,
        )

        dispatcher = self.parts.dispatcher
        upstreams = len(self.parts.upstreams.by_number)
        return render_metrics(
            dispatcher.metrics, Gauges(dispatcher.unanswered, upstreams, dispatcher.unavailable_server_count)
        )

    @property
    def is_cluster_member(self) -> bool:
        """Whether this gateway is a member of a cluster."""
        return self.parts.cluster is not None

    async def fleet_call(self, call: bytes) -> bytes:
        """Answer one admin call for the cluster, JSON in and out (badgeryoke.gateway.cluster.admin_calls)."""
        if self.parts.cluster is None:
            return b"-ERR fleet is off: [fleet] in deploy/badgeryoke.toml switches it on\n"
        return await self.parts.cluster.answer(call)


def _check_membership(config: Config) -> None:
    """Raise ConfigError if the cluster is on and this gateway is not one of its members."""
    settings = config.operators.fleet
    if settings is None:
        return
    name = settings.me or config.name
    if all(member.name != name for member in settings.members):
        raise ConfigError(f"{OPERATORS_FILE}: fleet.me: {name!r} is no member")
