"""State shared by all connections of one member: its identity, limits, error reporter and tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random

from badgeryoke.cluster.errors import BadFrame, ClusterError, ClusterMismatch, StaleIncarnation
from badgeryoke.cluster.messages import PROTOCOL_VERSION, Envelope, MemberId, member_name
from badgeryoke.gateway.cluster.transport.error_reporter import ErrorReporter
from badgeryoke.gateway.cluster.transport.frames import encode_frame, quoted
from badgeryoke.gateway.cluster.transport.limits import TransportLimits

READ_AHEAD_BYTES = 64 * 1024  # bytes that a stream buffers beyond one frame


@dataclass(slots=True)
class TransportContext:
    """Shared by a `ClusterTransport` and its connections."""

    cluster: str
    member_id: MemberId  # this member's id, with its incarnation
    limits: TransportLimits
    errors: ErrorReporter
    random: Random
    closed: bool = False
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def stream_buffer_bytes(self) -> int:
        """The most bytes that a stream may buffer; it is closed beyond that."""
        return self.limits.max_frame_bytes + READ_AHEAD_BYTES

    def handshake(self, to: str = "") -> bytes:
        """The frame of an envelope without messages: a handshake, a heartbeat, or the answer to either."""
        return encode_frame(Envelope(PROTOCOL_VERSION, self.cluster, self.member_id, to, ()))

    def check_addressing(self, envelope: Envelope, sender: MemberId) -> ClusterError | None:
        """Check that an envelope is from `sender` to this member; the error if it is not."""
        own_name = member_name(self.member_id)
        if envelope.sender != sender:
            return BadFrame(sender, f"a frame from {quoted(envelope.sender)} on its connection")
        if envelope.to and member_name(envelope.to) != own_name:
            return ClusterMismatch(sender, f"it sends to {quoted(envelope.to)}, but this is {self.member_id}")
        if envelope.to not in ("", self.member_id, own_name, f"{own_name}/"):
            return StaleIncarnation(
                sender, f"it sends to {quoted(envelope.to)}, but this is {self.member_id}"
            )
        return None

    def start_task(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run `work` in a task that `cancel_tasks` ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_tasks(self) -> None:
        """Cancel all tasks; they end in the next iterations of the event loop."""
        for task in list(self._tasks):
            task.cancel()
