"""End-to-End Identifiers: one for each request and its repeats, and none for two requests."""

from __future__ import annotations

import zlib

import pytest

from badgeryoke.gateway.diameter.end_to_end_ids import (
    MAX_KEYS,
    MAX_PROBES,
    MAX_REQUESTS,
    RETENTION_S,
    EndToEndIds,
)
from tests.support import stand_ins
from tests.support.running import run_test, send_commands
from tests.support.stand_ins import ReceivedMessage, credit_control_answer, one_gateway, query

KEY, SAME_CHECKSUM = "a02552f76dbdf5fd", "670009b22c087272"
assert zlib.crc32(KEY.encode()) == zlib.crc32(SAME_CHECKSUM.encode())


class Clock:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


def test_keys_with_one_checksum_get_identifiers_of_their_own_and_keep_them() -> None:
    clock = Clock()
    ids = EndToEndIds(clock, 0)
    first, second = ids.of_key(KEY), ids.of_key(SAME_CHECKSUM)
    assert first != second and [ids.of_key(KEY), ids.of_key(SAME_CHECKSUM)] == [first, second]
    for _ in range(3):  # the first key is forgotten meanwhile
        clock.now += RETENTION_S
        assert ids.of_key(SAME_CHECKSUM) == second


def test_a_restarted_gateway_gives_a_repeat_the_same_identifier() -> None:
    assert EndToEndIds(Clock(), 0).of_key(KEY) == EndToEndIds(Clock(), 60).of_key(KEY)


def test_the_memory_for_identifiers_is_bounded() -> None:
    ids = EndToEndIds(Clock(), 0)
    for number in range(MAX_KEYS + 1):
        ids.of_key(f"k{number}")
        ids.of_request(f"r{number}")
    assert len(ids._key_hashes) <= MAX_KEYS and len(ids._counted) <= MAX_REQUESTS


def test_no_identifier_is_shared_where_none_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(zlib, "crc32", lambda _: 7)
    ids = EndToEndIds(Clock(), 0)
    given = {ids.of_key(f"k{number}") for number in range(MAX_PROBES)}
    assert len(given) == MAX_PROBES and None not in given and ids.of_key("one more") is None


def test_counted_identifiers_differ_from_each_other_and_from_those_of_keys() -> None:
    ids, restarted = EndToEndIds(Clock(), 100), EndToEndIds(Clock(), 101)
    given = [source.of_request(f"r{number}") for number in range(1000) for source in (ids, restarted)]
    assert len(set(given)) == len(given) and min(given) > (ids.of_key(KEY) or 0)
    assert ids.of_request("r999") == given[-2]  # a further attempt


def test_a_debit_is_not_taken_for_another_one_whose_key_has_the_same_checksum() -> None:
    """Regression: both had one End-to-End Identifier, so a server answered the second with the first one's result."""

    async def test() -> None:
        async with one_gateway(kind="diameter", diameter=True) as (app, server, _):
            for key in (KEY, SAME_CHECKSUM, KEY):
                assert await send_commands(app, query(key, "load-send", key=key)) == [b"value"]
            first, second, repeat = (request.end for request in server.received)
            assert first == repeat and first != second

    run_test(test)


def test_the_answer_to_another_request_is_not_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: an answer was taken by its Hop-by-Hop Identifier alone, whatever session it named."""

    def foreign_answer(request: ReceivedMessage, result: int) -> bytes:
        request.avps[263] = request.avps[263][:-1] + b"?"
        return credit_control_answer(request, result)

    async def test() -> None:
        async with one_gateway(kind="diameter", diameter=True) as (app, _, _):
            [answer] = await send_commands(app, query("r1", "load-send", key=KEY))
            assert str(answer).startswith("-")

    monkeypatch.setattr(stand_ins, "credit_control_answer", foreign_answer)
    run_test(test)
