"""The counter link and the discovery watch on real sockets."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgeryoke.decisions.interface import CounterReply, EndpointList, EndpointState, ListScope, Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot
from badgeryoke.gateway.quota_counter.client import QuotaCounterClient
from tests.gateway.resp.test_client_connection import play
from tests.support.stand_ins import HOST, NOW_MS, Counter, Discovery, entry, roster


class Calls:
    """A counter link and the totals it gave, under a clock that is moved by hand."""

    def __init__(self, port: int, timeout_ms: float = 50.0) -> None:
        self.now = NOW_MS
        self.got: asyncio.Queue[CounterReply] = asyncio.Queue()
        self.link = QuotaCounterClient(
            (HOST, port), timeout_ms, ActorScheduler(asyncio.get_running_loop()), lambda: self.now
        )
        self.link.open()

    async def call(self, name: int, units: float = 1.0) -> CounterReply:
        self.link.add(name, units, 1000.0, self.got.put_nowait)
        return await self.got.get()

    async def up(self) -> None:
        while (await self.call(1, 0.0)).verdict is not Verdict.OK:
            await asyncio.sleep(0)


def test_answers_are_matched_in_order_also_after_a_time_out() -> None:
    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            counter.held.clear()
            calls.link.add(7, 3.0, 1000.0, calls.got.put_nowait)
            while counter.totals["7"] == 0:
                await asyncio.sleep(0)
            calls.now += 50.0
            late = await calls.got.get()
            assert (late.name, late.verdict) == (7, Verdict.TIMEOUT)
            calls.link.add(8, 5.0, 1000.0, calls.got.put_nowait)
            counter.held.set()
            total = await calls.got.get()  # the late answer of 7 is not taken for that of 8
            assert (total.name, total.verdict, total.total) == (8, Verdict.OK, 5.0)
            calls.link.close()

    play(test)


@pytest.mark.parametrize(
    ("answer", "verdict"),
    [
        (b"-BUSY\r\n", Verdict.QUEUE_FULL),
        (b"-ERR no such call\r\n", Verdict.QUEUE_FULL),
        (b"$3\r\nabc\r\n", Verdict.TIMEOUT),
        (b"!!\r\n", Verdict.TIMEOUT),
        (b"$1\r\n4\r\n$1\r\n4\r\n", Verdict.OK),
    ],
)
def test_what_the_counter_answers_becomes_a_verdict(answer: bytes, verdict: Verdict) -> None:
    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            good, counter.answer = counter.answer, lambda total: answer
            assert (await calls.call(7)).verdict is verdict
            counter.answer = good
            await calls.up()  # the link goes on, over a new connection where the old one is of no use
            calls.link.close()

    play(test)


def test_a_counter_that_is_absent_adds_nothing_and_may_come_later() -> None:
    async def test() -> None:
        counter = Counter()
        async with counter:
            pass
        calls = Calls(counter.port)
        assert (await calls.call(7)).verdict is Verdict.CONNECT_FAILED
        async with counter:
            await calls.up()
            counter.held.clear()
            calls.link.add(9, 1.0, 1000.0, calls.got.put_nowait)
            while counter.totals["9"] == 0:
                await asyncio.sleep(0)
            counter.drop()  # written whole and lost: it may have been added
            assert (await calls.got.get()).verdict is Verdict.TIMEOUT
            calls.link.close()

    play(test)


def test_a_counter_that_froze_is_left_for_a_new_connection() -> None:
    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port, 1.0)
            await calls.up()
            counter.held.clear()
            calls.link.add(7, 1.0, 1000.0, calls.got.put_nowait)
            while counter.totals["7"] == 0:
                await asyncio.sleep(0)
            before = counter.connections
            while counter.connections == before:
                calls.now += 1.0
                await asyncio.sleep(0.001)
            counter.held.set()
            calls.link.close()

    play(test)


class Silent(Discovery):
    """An agent that says nothing."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()


class Watch:
    """A host group and what it told."""

    def __init__(self, port: int, known: EndpointSnapshot | None = None) -> None:
        self.told: asyncio.Queue[tuple[EndpointList, dict[int, Any]]] = asyncio.Queue()
        self.group = DiscoveryClient(
            (HOST, port),
            known,
            ActorScheduler(asyncio.get_running_loop()),
            lambda members, hosts: self.told.put_nowait((members, hosts)),
            1,
            lambda: 0.5,
        )
        self.group.start()


def test_the_list_known_at_the_start_where_discovery_is_absent_then_the_whole_one_then_changes() -> None:
    async def test() -> None:
        async with Discovery() as absent:
            port = absent.port
        watch = Watch(port, roster(entry("a", 9)))
        first, hosts = await watch.told.get()
        assert first.scope is ListScope.CACHED and [h.address[1] for h in hosts.values()] == [9]
        list_ = Discovery(entry("a", 1), entry("b", 2))
        list_.port = port
        async with list_:
            full, hosts = await watch.told.get()
            assert full.scope is ListScope.FULL and len(hosts) == 2
            assert full.servers[0].id == first.servers[0].id  # the same name keeps its number
            list_.change({"id": "a", "state": "left"})
            change, hosts = await watch.told.get()
            assert (change.scope, change.servers[0].state) == (ListScope.CHANGES, EndpointState.GONE)
            assert [h.id for h in hosts.values()] == ["b"]
            while len(list_.calls) < 3:
                await asyncio.sleep(0)
            assert list_.calls[0] == "/api/targets"
            assert list_.calls[2].startswith("/api/targets?after=2&wait_ms=")
            assert list_.connections == 1
            watch.group.stop()

    play(test)


def test_the_list_known_at_the_start_is_not_gone_by_before_discovery_had_its_time() -> None:
    """What the agent holds counts as told: a fresh gateway would send to a server that drains."""

    async def test() -> None:
        async with Discovery(entry("a", 1, "leaving")) as list_:
            watch = Watch(list_.port, roster(entry("a", 1)))
            first, _ = await watch.told.get()
            assert first.scope is ListScope.FULL and [s.state for s in first.servers] == [
                EndpointState.DRAINING
            ]
            watch.group.stop()
        async with Silent() as agent:  # discovery is down
            watch = Watch(agent.port, roster(entry("a", 1)))
            first, _ = await watch.told.get()
            assert first.scope is ListScope.CACHED
            watch.group.stop()

    play(test)


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"version":3,"full":true,"servers":[{"id":"a"}]}'])
def test_a_malformed_list_is_a_failed_call_and_the_watch_goes_on(body: bytes) -> None:
    async def test() -> None:
        async with Discovery(entry("a", 1)) as list_:
            list_.raw.append(body)
            watch = Watch(list_.port)
            members, _ = await watch.told.get()
            assert members.scope is ListScope.FULL and len(members.servers) == 1 and list_.connections == 2
            watch.group.stop()

    play(test)


def test_a_lost_watch_goes_on_from_the_version_held() -> None:
    async def test() -> None:
        async with Discovery(entry("a", 1)) as list_:
            watch = Watch(list_.port)
            await watch.told.get()
            while len(list_.calls) < 2:
                await asyncio.sleep(0)
            list_.drop()
            while len(list_.calls) < 3:
                await asyncio.sleep(0.001)
            assert "after=1" in list_.calls[2] and list_.connections == 2
            watch.group.stop()

    play(test)
