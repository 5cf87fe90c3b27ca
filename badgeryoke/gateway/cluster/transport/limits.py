"""Timeouts and size limits of the connections between gateways."""

from __future__ import annotations

from dataclasses import dataclass

MAX_FRAME_BYTES = 1024 * 1024 + 64 * 1024  # a full batch of entries, or a chunk of a snapshot with its frame


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """The limits of one member's connections; times in seconds."""

    connect_timeout_s: float = 1.0
    handshake_timeout_s: float = 2.0  # time for the first frame of the other side
    stall_timeout_s: float = 5.0  # time for a write to complete, or a heartbeat to be answered
    heartbeat_interval_s: float = 1.0
    idle_timeout_s: float = 20.0  # time without a message after which the connection is closed
    idle_check_interval_s: float = 1.0
    min_reconnect_backoff_s: float = 0.05  # doubles with each failure
    max_reconnect_backoff_s: float = 2.0
    max_queued_messages: int = 4096  # messages queued for one peer
    max_queued_bytes: int = 4 * 1024 * 1024
    max_frame_bytes: int = MAX_FRAME_BYTES
    max_batch_messages: int = 1024  # messages in one frame
