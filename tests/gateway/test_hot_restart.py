"""Hot restart: the state, the clients' socket, and what happens when one side ends the transfer early."""

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
from tornado.netutil import bind_sockets

from badgeryoke.decisions import interface as api
from badgeryoke.decisions import state_snapshot
from badgeryoke.gateway import lifecycle
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.graceful_shutdown import ShutdownState
from badgeryoke.gateway.hot_restart import transfer
from tests.support import samples
from tests.support.diameter_clients import open_peer, send
from tests.support.running import run_test, until
from tests.support.stand_ins import (
    HOST,
    NOW_MS,
    Backend,
    Counter,
    Discovery,
    avp,
    ccr,
    config,
    connect,
    endpoint_snapshot,
    entry,
    message,
    query,
    read_message,
    read_reply,
)

TAKE = b"TAKE %d\n" % state_snapshot.VERSION

# The transferred state --------------------------------------------------------------------------------


def used_engine() -> Any:
    """A decision module that has sent an attempt and has unreported units, with the server of that attempt."""
    engine = samples.gateway()
    engine._quota._call_probability = 1.0
    totals: dict[int, float] = {}
    actions = samples.admit(engine, samples.START, samples.request("a", units=2.0), totals)
    [sent] = samples.only(actions, api.SendAttempt)
    engine.handle(samples.START + 40.0, samples.outcome(sent, api.Verdict.OK, rtt=40.0))
    engine._quota._quotas[7].unreported_units = 1.5
    capped = samples.request("c", plan="capped", customer=8)
    samples.admit(engine, samples.START, capped, totals)
    return engine, sent.server


def test_a_successor_continues_with_the_same_quotas_and_servers() -> None:
    old, server = used_engine()
    now = samples.START + 50.0
    snapshot = state_snapshot.take_snapshot(old, {n: f"s{n}" for n in range(1, 5)})
    line, body = state_snapshot.encode(snapshot).split(b"\n", 1)
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
    [timer] = samples.only(actions, api.SetTimer)  # unreported units are reported even without requests
    [report] = samples.only(new.handle(timer.at_ms, api.TimerFired(timer.token)), api.AddToCounter)
    assert report.units == 1.5
    state_snapshot.mark_transferred(old, snapshot)
    assert before.unreported_units == 0.0  # and they are reported only once
    assert old._quota._quotas[8].headroom_bucket.capacity(now) == -math.inf  # the headroom is the successor's


def test_snapshot_entries_unknown_to_the_settings_are_left_out() -> None:
    old, _ = used_engine()
    snapshot = state_snapshot.take_snapshot(old, {})
    # Another period, and a plan is missing.
    new = samples.gateway(plans=(replace(samples.PLAIN, burst=40.0),))
    assert state_snapshot.restore_snapshot(new, samples.START, snapshot, {}) == [] and not new._quota._quotas


@pytest.mark.parametrize(
    "damage",
    [
        lambda head, body: (head.replace(b"STATE %d" % state_snapshot.VERSION, b"STATE 1"), body),
        lambda head, body: (b"NONSENSE", body),
        lambda head, body: (b"STATE %d 1 999999999" % state_snapshot.VERSION, body),
        lambda head, body: (head, body[:-1] + bytes([body[-1] ^ 1])),
        lambda head, body: (head, b"\0" * len(body)),
    ],
)
def test_a_damaged_or_unknown_snapshot_is_not_restored(damage: Any) -> None:
    head, body = state_snapshot.encode(state_snapshot.take_snapshot(used_engine()[0], {1: "s1"})).split(
        b"\n", 1
    )
    head, body = damage(head, body)
    with pytest.raises(ValueError):
        state_snapshot.decode(body, state_snapshot.read_head(head)[0])


# On sockets -------------------------------------------------------------------------------------------


@asynccontextmanager
async def gateway_environment(folder: Path) -> AsyncIterator[tuple[Config, Backend, Counter]]:
    """The environment of a gateway whose listening socket for clients is inherited from the platform."""
    listening = socket.create_server((HOST, 0), backlog=512)
    try:
        async with (
            Backend() as backend,
            Counter() as counter,
            Discovery(entry("a", backend.port)) as discovery,
        ):
            gateway_config = config(discovery.port, counter.port, endpoint_snapshot(entry("a", backend.port)))
            yield (
                replace(
                    gateway_config,
                    mgmt=(HOST, 0),
                    folder=str(folder),
                    drain_s=0.02,
                    socket_fd=listening.fileno(),
                ),
                backend,
                counter,
            )
    finally:
        listening.close()


async def start_gateway(gateway_config: Config) -> GatewayApplication:
    app = GatewayApplication(gateway_config, lambda: NOW_MS)
    app.start()
    await until(
        lambda: (
            app.status()[0]
            and app.lifecycle.snapshot_sender is not None
            and app.lifecycle.snapshot_sender.ready
        )
    )
    return app


async def shut_down(*apps: GatewayApplication) -> None:
    for app in apps:
        app.end()
        await app.done.wait()


async def ask_once(address: Any, rid: str) -> Any:
    reader, writer = await connect(address)
    writer.write(query(rid))
    response = await read_reply(reader)
    writer.close()
    return response


def test_hot_restarts_in_a_row_lose_nothing_and_charge_each_unit_once(tmp_path: Path) -> None:
    """Clients send requests while one process after another takes over: each is answered on its connection, and the
    counter gets the units of all requests that the servers received."""

    async def test() -> None:
        async with gateway_environment(tmp_path) as (gateway_config, backend, counter):
            app = await start_gateway(gateway_config)
            address, sent_count, stopped = app.lifecycle.address, 0, False
            responses: list[Any] = []

            async def send_requests(name: str) -> None:
                nonlocal sent_count
                while not stopped:
                    sent_count += 1
                    responses.append(await ask_once(address, f"{name}{sent_count}"))

            clients = [asyncio.ensure_future(send_requests(f"c{n}-")) for n in range(3)]
            for _ in range(8):
                before = sent_count
                await until(lambda: sent_count > before + 5 or any(task.done() for task in clients))  # noqa: B023
                successor = await start_gateway(gateway_config)
                await until(lambda: app.lifecycle.shutdown.state is ShutdownState.REPLACED)  # noqa: B023
                assert successor.parts.dispatcher._module._quota._quotas.keys() == {5}  # type: ignore[attr-defined]
                await shut_down(app)
                app = successor
            stopped = True
            await asyncio.gather(*clients, return_exceptions=True)
            await shut_down(app)
            served = responses.count(b"value")  # an overloaded gateway may reject some
            assert (
                served > 40
                and served + sum(str(response).startswith("-BUSY") for response in responses) == sent_count
            )
            assert backend.ledger.units[5] == served and counter.units == pytest.approx(served)
            assert list(tmp_path.iterdir()) == []

    run_test(test)


async def listens(address: tuple[str, int]) -> bool:
    """Whether something accepts connections at an address."""
    try:
        _, writer = await connect(address)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


@pytest.mark.parametrize("shares_port", [True, False])
def test_a_successor_takes_over_the_diameter_clients(
    shares_port: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a successor that crashes since the running process listens for Diameter clients."""
    with socket.create_server((HOST, 0)) as reserved:
        port = reserved.getsockname()[1]

    def bind_alone(*arguments: Any, **options: Any) -> Any:
        """Bind as a build does that does not share its port."""
        return bind_sockets(*arguments, **{**options, "reuse_port": False})

    async def test() -> None:
        async with gateway_environment(tmp_path) as (environment, backend, _):
            diameter = config(1, None, diameter=True).diameter
            assert diameter is not None
            gateway_config = replace(environment, diameter=replace(diameter, listen=(HOST, port)))
            if not shares_port:
                monkeypatch.setattr(lifecycle, "bind_sockets", bind_alone)
            predecessor = await start_gateway(gateway_config)
            monkeypatch.setattr(lifecycle, "bind_sockets", bind_sockets)
            reader, writer = await open_peer(predecessor)
            [served] = await send((reader, writer), ccr(1))
            successor = await start_gateway(gateway_config)
            disconnect_request = await read_message(reader)
            writer.write(message(0, 282, 0, disconnect_request.hop, disconnect_request.end, avp(268, 2001)))
            assert await reader.read() == b""
            await shut_down(predecessor)
            while not await listens((HOST, port)):
                await asyncio.sleep(0)
            again = await open_peer(successor)
            [other] = await send(again, ccr(2))
            assert [served.result, other.result] == [2001, 2001] and len(backend.commands) == 2
            again[1].close()
            await shut_down(successor)

    run_test(test)


@pytest.mark.parametrize("sent_lines", [TAKE, TAKE + b"NONSENSE\n", b"TAKE 9\n", b"x" * 2000])
def test_a_failed_transfer_leaves_the_predecessor_serving(sent_lines: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        async with gateway_environment(tmp_path) as (gateway_config, _, _counter):
            app = await start_gateway(gateway_config)
            path = str(transfer.socket_path(gateway_config.folder or "", gateway_config.name))
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(sent_lines)
            if sent_lines.startswith(b"TAKE"):
                head = b"STATE %d " % state_snapshot.VERSION if sent_lines.startswith(TAKE) else b"ERR "
                assert (await asyncio.wait_for(reader.readline(), 5.0)).startswith(head)
            writer.transport.abort()
            assert (
                await ask_once(app.lifecycle.address, "r") == b"value"
                and app.lifecycle.shutdown.state is ShutdownState.SERVING
            )
            await shut_down(app)

    run_test(test)


@pytest.mark.parametrize("leftover", ["stale", "damaged", "silent", "file"])
def test_without_a_valid_predecessor_it_starts_without_state(
    leftover: str, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transfer, "STEP_TIMEOUT_S", 0.1)

    async def serve_invalid_state(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if leftover == "damaged":
            writer.write(b"STATE %d 12 4\nnope" % state_snapshot.VERSION)
        await reader.read()
        writer.close()

    async def test() -> None:
        async with gateway_environment(tmp_path) as (gateway_config, _, _counter):
            path = transfer.socket_path(gateway_config.folder or "", gateway_config.name)
            server = None
            if leftover == "stale":
                with socket.socket(socket.AF_UNIX) as unix_socket:
                    unix_socket.bind(str(path))
            elif leftover == "file":
                path.write_text("left behind")
            else:
                server = await asyncio.start_unix_server(serve_invalid_state, str(path))
            app = await start_gateway(gateway_config)
            assert await ask_once(app.lifecycle.address, "r") == b"value"
            if server is not None:
                server.close()
            successor = await start_gateway(gateway_config)  # and it can be replaced, too
            assert successor.parts.dispatcher._module._quota._quotas  # type: ignore[attr-defined]
            await shut_down(app, successor)

    run_test(test)
    assert "no state from the old process, starting without it" in caplog.text


def test_a_long_folder_and_an_odd_name_still_make_a_socket_path(tmp_path: Path) -> None:
    folder = tmp_path / ("d" * 120)
    folder.mkdir()

    async def test() -> None:
        async with gateway_environment(folder) as (gateway_config, _, _counter):
            gateway_config = replace(gateway_config, name="../n 0" * 20)
            app = await start_gateway(gateway_config)
            successor = await start_gateway(gateway_config)
            await until(lambda: app.lifecycle.shutdown.state is ShutdownState.REPLACED)
            await shut_down(app, successor)
        assert os.listdir(folder) == []

    run_test(test)
