"""Answers of commands by their ids, so that a repeated command is answered as the first time and changes nothing."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from badgeryoke.cluster.state_machine_part import ApplyResult, Command

MAX_REMEMBERED_IDS = 8192  # the oldest goes first, and a repeat of it is then new
MAX_REMEMBERED_ANSWER_BYTES = 8 * 1024 * 1024  # of all answers, a part of what a snapshot may take

_encoder = msgspec.msgpack.Encoder()


class RememberedAnswer(NamedTuple):
    """The checksum of a command, and its encoded `ApplyResult`."""

    checksum: int
    answer: bytes

    def result(self) -> ApplyResult:
        """The answer as it was given."""
        return msgspec.msgpack.decode(self.answer, type=ApplyResult)


def command_checksum(command: Command) -> int:
    """A checksum of all of a command, to tell a repeat from another command under the same id."""
    return zlib.crc32(_encoder.encode(command))


class RememberedAnswers:
    """Bounded in number and in bytes.

    What is left depends on the order of commands alone, so that all replicas forget the same.
    """

    def __init__(self) -> None:
        self._answers: dict[str, RememberedAnswer] = {}  # by command id, the oldest first
        self._byte_count = 0

    def __contains__(self, command_id: str) -> bool:
        return command_id in self._answers

    def get(self, command_id: str) -> RememberedAnswer | None:
        """What was answered to the command with this id."""
        return self._answers.get(command_id)

    def add(self, command_id: str, checksum: int, result: ApplyResult) -> None:
        """Remember one more answer."""
        answer = _encoder.encode(result)
        self._answers[command_id] = RememberedAnswer(checksum, answer)
        self._byte_count += len(answer)
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        while len(self._answers) > MAX_REMEMBERED_IDS or self._byte_count > MAX_REMEMBERED_ANSWER_BYTES:
            self._byte_count -= len(self._answers.pop(next(iter(self._answers))).answer)

    def dump(self) -> list[list[str | int | bytes]]:
        """The stored form: id, checksum and answer of each."""
        return [[command_id, *remembered] for command_id, remembered in self._answers.items()]

    def restore(self, saved: Iterable[tuple[str, int, bytes]]) -> None:
        """Replace all; a snapshot of an older version may hold more than the bounds."""
        self._answers = {
            command_id: RememberedAnswer(checksum, answer) for command_id, checksum, answer in saved
        }
        self._byte_count = sum(len(remembered.answer) for remembered in self._answers.values())
        self._forget_oldest()
