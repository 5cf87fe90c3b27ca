"""Changes are notified within the protocol's time limits, whatever discovery does and however many gateways watch it:
many discovery clients on real sockets, in an event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio

import pytest

from badgeryoke.decisions.interface import ListScope
from badgeryoke.gateway.discovery import long_poll
from badgeryoke.gateway.discovery.backoff import DiscoveryBackoff
from tests.support.discovery import GONE_ENTRY, AgentBehaviour, VersionedAgent, WatchingFleet
from tests.support.stand_ins import HOST
from tests.support.virtual_time import max_in_window, run_in_virtual_time


@pytest.mark.parametrize("gateways", [1, 3, 40, 200, 10_000])
def test_the_longest_backoff_and_timeouts_stay_within_the_notification_deadline(gateways: int) -> None:
    """Regression: a pause could take 5.4 s, and the poll after it 3 s more.  In each sum a final poll is answered at
    once."""
    backoff = DiscoveryBackoff(gateways, lambda: 1.0)
    longest_pause, silence_pause = (
        max(backoff.pause_after_failure_s() for _ in range(30)),
        backoff.pause_after_silence_s(),
    )
    pause_after_rejection, later_pause = backoff.pause_after_failure_s(), backoff.pause_after_failure_s()
    probe_wait, poll_wait, response_timeout = (
        long_poll.PROBE_WAIT_MS / 1000,
        long_poll.LONG_POLL_WAIT_MS / 1000,
        long_poll.RESPONSE_TIMEOUT_S,
    )
    silence_timeout = long_poll.SILENCE_TIMEOUT_S
    rejected_then_given_up = longest_pause + (probe_wait + response_timeout) + silence_pause
    trickled = (poll_wait + response_timeout) + silence_pause
    silent_twice = (
        (poll_wait + silence_timeout) + silence_pause + (probe_wait + silence_timeout) + silence_pause
    )
    assert max(rejected_then_given_up, trickled) <= 5.0 and silent_twice <= 5.5
    rejected_after_silence = (
        (poll_wait + silence_timeout) + silence_pause + pause_after_rejection + (probe_wait + silence_timeout)
    )
    assert rejected_after_silence <= 5.8 and later_pause == longest_pause  # the short pause applies only once
    assert (
        3 * (probe_wait + silence_timeout + silence_pause) <= 3.5
        and probe_wait + response_timeout + silence_pause <= 2.0
    )  # after SIGHUP: 4 s


@pytest.mark.parametrize("gateways", [1, 40, 200])
def test_silent_watches_are_reopened_within_the_notification_deadline(gateways: int) -> None:
    """Regression: the next poll could follow after 7.5 s, since the backoff was still long from an earlier overload."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with VersionedAgent() as agent:
            with WatchingFleet(agent.port, gateways) as fleet:
                await asyncio.sleep(1.0)
                agent.behaviour = AgentBehaviour.OVERLOADED
                await asyncio.sleep(20.0)
                agent.behaviour = AgentBehaviour.ANSWERING
                await asyncio.sleep(6.5)
                # The polls open now, and the next ones on their connections.
                agent.behaviour = AgentBehaviour.SILENT_AFTER_FIRST
                silent_since = loop.time()
                await asyncio.sleep(0.5)
                agent.history.append(GONE_ENTRY)
                await asyncio.sleep(8.0)
                assert fleet.all_notified_of_gone_at() < silent_since + 5.5  # counts as notified after 6 s

    run_in_virtual_time(test)


@pytest.mark.parametrize("gateways", [1, 200])
def test_an_outage_leaves_no_gateway_without_an_open_poll(gateways: int) -> None:
    """Regression: a list that an agent held from the end of an outage was known 0.39 s too late, after a pause of
    1.5 s."""

    async def test() -> None:
        async with VersionedAgent() as agent:
            with WatchingFleet(agent.port, 1, gateway_count=gateways):
                await asyncio.sleep(5.0)
                agent.behaviour, before = AgentBehaviour.SILENT, len(agent.polled_at)
                await asyncio.sleep(20.0)
                again = agent.polled_at[before + 1 if agent.polled_at[before] < 5.0 else before :]
                assert len(agent.abandoned_at) >= 4 and len(again) >= len(agent.abandoned_at)
                assert max(at - left for left, at in zip(agent.abandoned_at, again, strict=False)) < 0.2

    run_in_virtual_time(test)


@pytest.mark.parametrize(("gateways", "max_polls"), [(3, 6), (40, 50), (200, 160)])
def test_polls_in_an_outage_are_bounded_and_its_end_reaches_all_gateways(
    gateways: int, max_polls: int
) -> None:
    """Regression: with silence of 8 s each poll waited 6 s for its answer, and the next followed up to 7.5 s later."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with VersionedAgent() as agent:
            with WatchingFleet(agent.port, gateways) as fleet:
                await asyncio.sleep(11.0)
                agent.behaviour = AgentBehaviour.SILENT
                silent_since, before = loop.time(), len(agent.polled_at)
                await asyncio.sleep(7.0)
                agent.history.append(GONE_ENTRY)
                await asyncio.sleep(1.0)
                polls = [
                    at for at in agent.polled_at[before:] if at > silent_since + 5.5
                ]  # the first two rounds are over
                assert (
                    max_in_window(polls, 1.0) <= max_polls and len(agent.polled_at) - before <= 6 * gateways
                )
                agent.behaviour = AgentBehaviour.ANSWERING
                await asyncio.sleep(8.0)
                # A poll sent in the outage, which this agent never answers, is open for 4 s.
                assert fleet.all_notified_of_gone_at() < silent_since + 8.0 + 4.2

    run_in_virtual_time(test)


def test_503_makes_gateways_back_off_but_not_beyond_the_deadline() -> None:
    async def test() -> None:
        async with VersionedAgent() as agent:
            with WatchingFleet(agent.port, 200):
                await asyncio.sleep(1.0)
                agent.behaviour = AgentBehaviour.OVERLOADED
                await asyncio.sleep(50.0)
                late = [at for at in agent.polled_at if at > 20.0]
                assert max_in_window(late, 1.0) <= 130
                assert len(late) >= 200 * 10  # in 31 s: at least one poll per gateway every 3 s

    run_in_virtual_time(test)


def test_an_indented_endpoint_list_is_accepted() -> None:
    async def test() -> None:
        async with VersionedAgent() as agent:
            agent.indent = 2
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(1.0)
                agent.publish(GONE_ENTRY)
                await asyncio.sleep(0.1)
                [(_, first), (_, then)] = fleet.notifications[0]
                assert (first.scope, then.scope) == (ListScope.FULL, ListScope.CHANGES) and len(
                    agent.polled_at
                ) == 3

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    "behaviour",
    [AgentBehaviour.ANSWERING, AgentBehaviour.OVERLOADED, AgentBehaviour.SILENT],
    ids=lambda behaviour: behaviour.value,
)
def test_a_new_address_is_polled_at_once_even_during_backoff(behaviour: AgentBehaviour) -> None:
    """Regression: a pause of 7.5 s was not interrupted, and the time limit after SIGHUP is 4 s."""

    async def test() -> None:
        async with VersionedAgent() as agent, VersionedAgent() as new_agent:
            new_agent.publish(GONE_ENTRY)
            with WatchingFleet(agent.port, 200) as fleet:
                await asyncio.sleep(1.0)
                agent.behaviour = behaviour
                await asyncio.sleep(30.0)
                now = asyncio.get_running_loop().time()
                for client in fleet.clients:
                    client.switch_address((HOST, new_agent.port))
                await asyncio.sleep(4.0)
                first = [at for at in new_agent.polled_at if at < now + 0.1]
                assert len(first) >= 200 and fleet.all_notified_of_gone_at() < now + 0.2

    run_in_virtual_time(test)


def test_a_new_address_that_is_silent_at_first_is_watched_within_4_s() -> None:
    async def test() -> None:
        async with VersionedAgent() as agent, VersionedAgent() as new_agent:
            new_agent.publish(GONE_ENTRY)
            new_agent.behaviour = AgentBehaviour.SILENT
            with WatchingFleet(agent.port, 200) as fleet:
                await asyncio.sleep(1.0)
                for client in fleet.clients:
                    client.switch_address((HOST, new_agent.port))
                await asyncio.sleep(1.9)
                new_agent.behaviour = AgentBehaviour.ANSWERING
                await asyncio.sleep(1.5)
                assert fleet.all_notified_of_gone_at() < 1.0 + 2.4

    run_in_virtual_time(test)


@pytest.mark.parametrize("turns", range(5))
def test_cancellation_while_a_connection_is_lost_ends_the_watch(turns: int) -> None:
    """Regression: the connection's error replaced the cancellation, and a process that waits for its tasks never
    ended."""

    async def test() -> None:
        async with VersionedAgent() as agent:
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(1.0)
                stream, watch = fleet.clients[0]._stream, fleet.clients[0]._task
                assert stream is not None
                stream.close()
                for _ in range(turns):
                    await asyncio.sleep(0)
                watch.cancel()
                await asyncio.wait([watch], timeout=5.0)
                assert watch.cancelled()

    run_in_virtual_time(test)
