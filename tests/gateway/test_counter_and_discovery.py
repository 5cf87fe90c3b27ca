"""The quota counter's client and the discovery client, on real sockets."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgeryoke.decisions.interface import EndpointList, EndpointState, ListScope, Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot
from tests.support.counter import CounterCalls
from tests.support.running import run_test
from tests.support.stand_ins import HOST, Counter, Discovery, endpoint_snapshot, entry


def test_replies_are_matched_in_order_also_after_a_timeout() -> None:
    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            counter.may_answer.clear()
            calls.client.add(7, 3.0, 1000.0, calls.replies.put_nowait)
            while counter.totals["7"] == 0:
                await asyncio.sleep(0)
            calls.now_ms += 50.0
            late = await calls.replies.get()
            assert (late.name, late.verdict) == (7, Verdict.TIMEOUT)
            calls.client.add(8, 5.0, 1000.0, calls.replies.put_nowait)
            counter.may_answer.set()
            total = await calls.replies.get()  # the late reply for 7 is not taken as the reply for 8
            assert (total.name, total.verdict, total.total) == (8, Verdict.OK, 5.0)
            calls.client.close()

    run_test(test)


@pytest.mark.parametrize(
    ("answer", "verdict"),
    [
        pytest.param(b"-BUSY\r\n", Verdict.QUEUE_FULL, id="overloaded"),
        pytest.param(b"-ERR no such call\r\n", Verdict.QUEUE_FULL, id="error"),
        pytest.param(b"$3\r\nabc\r\n", Verdict.TIMEOUT, id="no total"),
        pytest.param(b"!!\r\n", Verdict.TIMEOUT, id="no RESP"),
        pytest.param(b"$1\r\n4\r\n$1\r\n4\r\n", Verdict.OK, id="two replies"),
    ],
)
def test_each_reply_of_the_counter_becomes_a_verdict(answer: bytes, verdict: Verdict) -> None:
    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            normal_answer, counter.answer = counter.answer, lambda total: answer
            assert (await calls.call(7)).verdict is verdict
            counter.answer = normal_answer
            await calls.connected()  # the client continues, on a new connection if the old one is unusable
            calls.client.close()

    run_test(test)


def test_an_unreachable_counter_adds_nothing_and_is_used_once_it_is_up() -> None:
    async def test() -> None:
        counter = Counter()
        async with counter:
            pass
        calls = CounterCalls(counter.port)
        assert (await calls.call(7)).verdict is Verdict.CONNECT_FAILED
        async with counter:
            await calls.connected()
            counter.may_answer.clear()
            calls.client.add(9, 1.0, 1000.0, calls.replies.put_nowait)
            while counter.totals["9"] == 0:
                await asyncio.sleep(0)
            counter.drop()  # written and lost: it may have been counted
            assert (await calls.replies.get()).verdict is Verdict.TIMEOUT
            calls.client.close()

    run_test(test)


def test_a_silent_counter_connection_is_replaced() -> None:
    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port, 1.0)
            await calls.connected()
            counter.may_answer.clear()
            calls.client.add(7, 1.0, 1000.0, calls.replies.put_nowait)
            while counter.totals["7"] == 0:
                await asyncio.sleep(0)
            before = counter.connections
            while counter.connections == before:
                calls.now_ms += 1.0
                await asyncio.sleep(0.001)
            counter.may_answer.set()
            calls.client.close()

    run_test(test)


class SilentAgent(Discovery):
    """An agent that never answers."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()


class Watch:
    """A discovery client and its notifications."""

    def __init__(self, port: int, cached: EndpointSnapshot | None = None) -> None:
        self.notifications: asyncio.Queue[tuple[EndpointList, dict[int, Any]]] = asyncio.Queue()
        self.client = DiscoveryClient(
            (HOST, port),
            cached,
            ActorScheduler(asyncio.get_running_loop()),
            lambda change, endpoints: self.notifications.put_nowait((change, endpoints)),
            1,
            lambda: 0.5,
        )
        self.client.start()


def test_the_cached_list_is_used_until_discovery_sends_the_complete_one_and_then_changes() -> None:
    async def test() -> None:
        async with Discovery() as absent:
            port = absent.port
        watch = Watch(port, endpoint_snapshot(entry("a", 9)))
        first, endpoints = await watch.notifications.get()
        assert first.scope is ListScope.CACHED and [
            endpoint.address[1] for endpoint in endpoints.values()
        ] == [9]
        discovery = Discovery(entry("a", 1), entry("b", 2))
        discovery.port = port
        async with discovery:
            full, endpoints = await watch.notifications.get()
            assert full.scope is ListScope.FULL and len(endpoints) == 2
            assert full.servers[0].id == first.servers[0].id  # the same name keeps its number
            discovery.change({"id": "a", "state": "left"})
            change, endpoints = await watch.notifications.get()
            assert (change.scope, change.servers[0].state) == (ListScope.CHANGES, EndpointState.GONE)
            assert [endpoint.id for endpoint in endpoints.values()] == ["b"]
            while len(discovery.calls) < 3:
                await asyncio.sleep(0)
            assert discovery.calls[0] == "/api/targets"
            assert discovery.calls[2].startswith("/api/targets?after=2&wait_ms=")
            assert discovery.connections == 1
            watch.client.stop()

    run_test(test)


def test_the_cached_list_is_not_used_before_discovery_had_time_to_answer() -> None:
    """A list that the agent holds counts as notified: by its cached list a new gateway would send requests to a
    draining server."""

    async def test() -> None:
        async with Discovery(entry("a", 1, "leaving")) as discovery:
            watch = Watch(discovery.port, endpoint_snapshot(entry("a", 1)))
            first, _ = await watch.notifications.get()
            assert first.scope is ListScope.FULL and [s.state for s in first.servers] == [
                EndpointState.DRAINING
            ]
            watch.client.stop()
        async with SilentAgent() as agent:  # discovery is down
            watch = Watch(agent.port, endpoint_snapshot(entry("a", 1)))
            first, _ = await watch.notifications.get()
            assert first.scope is ListScope.CACHED
            watch.client.stop()

    run_test(test)


@pytest.mark.parametrize(
    "body",
    [b"{", b"[]", b'{"version":3,"full":true,"servers":[{"id":"a"}]}'],
    ids=["no JSON", "no object", "an incomplete entry"],
)
def test_a_malformed_list_is_a_failed_poll_and_the_watch_goes_on(body: bytes) -> None:
    async def test() -> None:
        async with Discovery(entry("a", 1)) as discovery:
            discovery.raw.append(body)
            watch = Watch(discovery.port)
            change, _ = await watch.notifications.get()
            assert change.scope is ListScope.FULL and len(change.servers) == 1 and discovery.connections == 2
            watch.client.stop()

    run_test(test)


def test_a_lost_watch_resumes_from_the_known_version() -> None:
    async def test() -> None:
        async with Discovery(entry("a", 1)) as discovery:
            watch = Watch(discovery.port)
            await watch.notifications.get()
            while len(discovery.calls) < 2:
                await asyncio.sleep(0)
            discovery.drop()
            while len(discovery.calls) < 3:
                await asyncio.sleep(0.001)
            assert "after=1" in discovery.calls[2] and discovery.connections == 2
            watch.client.stop()

    run_test(test)
