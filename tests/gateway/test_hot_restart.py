"""One process replaces another: state, the clients' socket, and what happens when a side breaks off."""

from __future__ import annotations

import asyncio
import math
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions import state_snapshot
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.graceful_shutdown import ShutdownState
from badgeryoke.gateway.hot_restart import transfer
from tests.support import samples
from tests.support.running import run_test as play
from tests.support.running import until
from tests.support.stand_ins import (
    HOST,
    NOW_MS,
    Backend,
    Counter,
    Discovery,
    config,
    connect,
    entry,
    query,
    read_reply,
    roster,
)

TAKE = b"TAKE %d\n" % state_snapshot.VERSION

# What is handed over ----------------------------------------------------------------------------------


def used() -> Any:
    """A module that has sent for a customer, owes units, and knows a server."""
    made = samples.gateway()
    made._quota._call_probability = 1.0
    totals: dict[int, float] = {}
    actions = samples.admit(made, samples.START, samples.request("a", units=2.0), totals)
    [sent] = samples.only(actions, api.SendAttempt)
    made.handle(samples.START + 40.0, samples.outcome(sent, api.Verdict.OK, rtt=40.0))
    made._quota._quotas[7].unreported_units = 1.5
    capped = samples.request("c", plan="capped", customer=8)
    samples.admit(made, samples.START, capped, totals)
    return made, sent.server


def test_a_successor_continues_with_the_same_quotas_and_servers() -> None:
    old, server = used()
    now = samples.START + 50.0
    handed = state_snapshot.take_snapshot(old, {n: f"s{n}" for n in range(1, 5)})
    line, body = state_snapshot.encode(handed).split(b"\n", 1)
    checksum, length = state_snapshot.read_head(line)
    assert length == len(body)
    new = samples.gateway()
    actions = state_snapshot.restore_snapshot(
        new, now, state_snapshot.decode(body, checksum), {f"s{n}": n for n in range(1, 5)}
    )
    before, after = old._quota._quotas[7], new._quota._quotas[7]
    assert after.bucket.capacity(now) == pytest.approx(before.bucket.capacity(now))
    assert (after.period, after.last_total, after.synchronized, after.unreported_units) == (
        before.period,
        before.last_total,
        before.synchronized,
        before.unreported_units,
    )
    assert new._balancer._servers[server].latency == old._balancer._servers[server].latency
    [wake] = samples.only(actions, api.SetTimer)  # what is owed is reported though nobody asks
    [count] = samples.only(new.handle(wake.at_ms, api.TimerFired(wake.token)), api.AddToCounter)
    assert count.units == 1.5
    state_snapshot.mark_transferred(old, handed)
    assert before.unreported_units == 0.0  # and reported once
    assert old._quota._quotas[8].headroom_bucket.capacity(now) == -math.inf  # the headroom is the successor's


def test_snapshot_entries_unknown_to_the_settings_are_left_out() -> None:
    old, _ = used()
    handed = state_snapshot.take_snapshot(old, {})
    new = samples.gateway(plans=(replace(samples.PLAIN, burst=40.0),))  # another period, and one plan less
    assert state_snapshot.restore_snapshot(new, samples.START, handed, {}) == [] and not new._quota._quotas


@pytest.mark.parametrize(
    "spoil",
    [
        lambda head, body: (head.replace(b"STATE %d" % state_snapshot.VERSION, b"STATE 1"), body),
        lambda head, body: (b"NONSENSE", body),
        lambda head, body: (b"STATE %d 1 999999999" % state_snapshot.VERSION, body),
        lambda head, body: (head, body[:-1] + bytes([body[-1] ^ 1])),
        lambda head, body: (head, b"\0" * len(body)),
    ],
)
def test_a_damaged_or_unknown_snapshot_is_not_restored(spoil: Any) -> None:
    head, body = state_snapshot.encode(state_snapshot.take_snapshot(used()[0], {1: "s1"})).split(b"\n", 1)
    head, body = spoil(head, body)
    with pytest.raises(ValueError):
        state_snapshot.decode(body, state_snapshot.read_head(head)[0])


# On sockets -------------------------------------------------------------------------------------------


@asynccontextmanager
async def platform(folder: Path) -> AsyncIterator[tuple[Config, Backend, Counter]]:
    """The clients' listening socket, held as the platform holds it."""
    listening = socket.create_server((HOST, 0), backlog=512)
    try:
        async with Backend() as node, Counter() as counter, Discovery(entry("a", node.port)) as list_:
            made = config(list_.port, counter.port, roster(entry("a", node.port)))
            yield (
                replace(made, mgmt=(HOST, 0), folder=str(folder), drain_s=0.02, socket_fd=listening.fileno()),
                node,
                counter,
            )
    finally:
        listening.close()


async def started(made: Config) -> GatewayApplication:
    app = GatewayApplication(made, lambda: NOW_MS)
    app.start()
    await until(
        lambda: (
            app.status()[0]
            and app.lifecycle.snapshot_sender is not None
            and app.lifecycle.snapshot_sender.ready
        )
    )
    return app


async def ended(*apps: GatewayApplication) -> None:
    for app in apps:
        app.end()
        await app.done.wait()


async def ask_once(address: Any, rid: str) -> Any:
    reader, writer = await connect(address)
    writer.write(query(rid))
    answer = await read_reply(reader)
    writer.close()
    return answer


def test_hot_restarts_in_a_row_lose_nothing_and_charge_each_unit_once(tmp_path: Path) -> None:
    """Queries go on while one process after another takes over: each has its answer on the connection it came
    by, and the counter has been told of what the servers were sent."""

    async def test() -> None:
        async with platform(tmp_path) as (made, node, counter):
            app = await started(made)
            address, asked, stop = app.lifecycle.address, 0, False
            answers: list[Any] = []

            async def asking(name: str) -> None:
                nonlocal asked
                while not stop:
                    asked += 1
                    answers.append(await ask_once(address, f"{name}{asked}"))

            clients = [asyncio.ensure_future(asking(f"c{n}-")) for n in range(3)]
            for _ in range(8):
                before = asked
                await until(lambda: asked > before + 5 or any(one.done() for one in clients))  # noqa: B023
                fresh = await started(made)
                await until(lambda: app.lifecycle.shutdown.state is ShutdownState.REPLACED)  # noqa: B023
                assert fresh.parts.dispatcher._module._quota._quotas.keys() == {5}  # type: ignore[attr-defined]
                await ended(app)
                app = fresh
            stop = True
            await asyncio.gather(*clients, return_exceptions=True)
            await ended(app)
            served = answers.count(b"value")  # a busy gateway may refuse some, and says so
            assert served > 40 and served + sum(str(one).startswith("-BUSY") for one in answers) == asked
            assert node.books.units[5] == served and counter.units == pytest.approx(served)
            assert list(tmp_path.iterdir()) == []

    play(test)


@pytest.mark.parametrize("said", [TAKE, TAKE + b"NONSENSE\n", b"TAKE 9\n", b"x" * 2000])
def test_a_successor_that_breaks_off_leaves_the_predecessor_serving(said: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as (made, _, _counter):
            app = await started(made)
            path = str(transfer.socket_path(made.folder or "", made.name))
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(said)
            if said.startswith(b"TAKE"):
                head = b"STATE %d " % state_snapshot.VERSION if said.startswith(TAKE) else b"ERR "
                assert (await asyncio.wait_for(reader.readline(), 5.0)).startswith(head)
            writer.transport.abort()
            assert (
                await ask_once(app.lifecycle.address, "r") == b"value"
                and app.lifecycle.shutdown.state is ShutdownState.SERVING
            )
            await ended(app)

    play(test)


@pytest.mark.parametrize("left", ["stale", "spoilt", "silent", "file"])
def test_without_a_valid_predecessor_it_starts_as_after_a_crash(
    left: str, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transfer, "STEP_TIMEOUT_S", 0.1)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if left == "spoilt":
            writer.write(b"STATE %d 12 4\nnope" % state_snapshot.VERSION)
        await reader.read()
        writer.close()

    async def test() -> None:
        async with platform(tmp_path) as (made, _, _counter):
            path = transfer.socket_path(made.folder or "", made.name)
            server = None
            if left == "stale":
                with socket.socket(socket.AF_UNIX) as one:
                    one.bind(str(path))
            elif left == "file":
                path.write_text("left behind")
            else:
                server = await asyncio.start_unix_server(answer, str(path))
            app = await started(made)
            assert await ask_once(app.lifecycle.address, "r") == b"value"
            if server is not None:
                server.close()
            fresh = await started(made)  # and it can itself be replaced
            assert fresh.parts.dispatcher._module._quota._quotas  # type: ignore[attr-defined]
            await ended(app, fresh)

    play(test)
    assert "no state from the old process, starting without it" in caplog.text


def test_a_long_folder_and_an_odd_name_still_make_a_socket_path(tmp_path: Path) -> None:
    folder = tmp_path / ("d" * 120)
    folder.mkdir()

    async def test() -> None:
        async with platform(folder) as (made, _, _counter):
            made = replace(made, name="../n 0" * 20)
            app = await started(made)
            fresh = await started(made)
            await until(lambda: app.lifecycle.shutdown.state is ShutdownState.REPLACED)
            await ended(app, fresh)
        assert os.listdir(folder) == []

    play(test)
