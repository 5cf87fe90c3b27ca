"""Deduplicates commands: a repeated command gets the remembered answer of the first time and changes nothing."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from badgeryoke.cluster.state_machine_part import ApplyResult, Command

MAX_REMEMBERED_IDS = 8192  # the oldest is evicted first; a repeat of it then counts as a new command
MAX_REMEMBERED_ANSWER_BYTES = 8 * 1024 * 1024  # for all answers; leaves room for other parts in a snapshot

_encoder = msgspec.msgpack.Encoder()


class RememberedAnswer(NamedTuple):
    """The checksum of a command and its encoded `ApplyResult`."""

    checksum: int
    answer: bytes

    def result(self) -> ApplyResult:
        """Decode the answer."""
        return msgspec.msgpack.decode(self.answer, type=ApplyResult)


def command_checksum(command: Command) -> int:
    """A checksum of the whole command, which distinguishes a repeat from another command with the same id."""
    return zlib.crc32(_encoder.encode(command))


class RememberedAnswers:
    """Remembered answers by command id, bounded in number and in bytes.

    Evictions depend only on the order of commands, so all replicas evict the same answers.
    """

    def __init__(self) -> None:
        self._answers: dict[str, RememberedAnswer] = {}  # by command id, oldest first
        self._byte_count = 0

    def __contains__(self, command_id: str) -> bool:
        return command_id in self._answers

    def get(self, command_id: str) -> RememberedAnswer | None:
        """The remembered answer to the command with this id, if any."""
        return self._answers.get(command_id)

    def add(self, command_id: str, checksum: int, result: ApplyResult) -> None:
        """Remember an answer, and evict the oldest ones beyond the limits."""
        answer = _encoder.encode(result)
        self._answers[command_id] = RememberedAnswer(checksum, answer)
        self._byte_count += len(answer)
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        while len(self._answers) > MAX_REMEMBERED_IDS or self._byte_count > MAX_REMEMBERED_ANSWER_BYTES:
            self._byte_count -= len(self._answers.pop(next(iter(self._answers))).answer)

    def dump(self) -> list[list[str | int | bytes]]:
        """The id, checksum and answer of each command, for a snapshot."""
        return [[command_id, *remembered] for command_id, remembered in self._answers.items()]

    def restore(self, saved: Iterable[tuple[str, int, bytes]]) -> None:
        """Replace all answers; a snapshot of an older version may hold more than the limits allow."""
        self._answers = {
            command_id: RememberedAnswer(checksum, answer) for command_id, checksum, answer in saved
        }
        self._byte_count = sum(len(remembered.answer) for remembered in self._answers.values())
        self._evict_oldest()
