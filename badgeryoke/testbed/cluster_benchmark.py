"""What a fleet costs on this machine: real processes, one a member, each with nothing but the fleet's part in
it, their links on loopback and their stores in a folder; and the same decisions in simulated time.

    python -m badgeryoke.testbed.cluster_benchmark COMMAND

    idle [members] [groups]: CPU a second of a member that has nothing to do
    promises [seconds]: acknowledged promises a second, and how long each took
    groups [seconds]: the same with 1, 4 and 16 groups
    messages: messages a second a member, 3, 40 and 200 members, simulated
    ratio [queries/s] [pairs]: CPU of a whole gateway, without a fleet and in one, in turns
    rules: CPU with and without the checks of the invariants

Figures go to docs/measurements.md, "Promises of a fleet".
"""

from __future__ import annotations

import asyncio
import cProfile
import json
import logging
import pstats
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.key_value import PutValue
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.state_machine_part import ApplyResult
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
from badgeryoke.gateway.cluster.service import ClusterService
from badgeryoke.gateway.cluster.settings import ClusterSettings, MemberEntry, Servers
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan
from badgeryoke.testbed.cluster_simulation.generated_plans import play_seed
from badgeryoke.testbed.cluster_simulation.world import SimulatedCluster
from badgeryoke.testbed.emulator.resp import encode_command
from badgeryoke.testbed.emulator.run import EmulatedRun
from badgeryoke.testbed.report.result import DEADLINE_MS
from badgeryoke.testbed.scenario.model import PlanText, Scenario

SERVERS = 8
VALUE = "v" * 200
SETTLE_S = 4.0


class Wanting:
    """A server link in whose use connections are."""

    connections_needed = 2

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """None is open."""

    def capacity_available(self) -> None:
        """None is dialled."""


class Idle:
    """A gateway that no roll asks anything of."""

    drained, unanswered = False, 0

    def pause(self) -> str:
        """Accept the drain at once; nothing is in the way."""
        return ""

    def resume(self) -> str:
        """Accept the return to service; nothing is in the way."""
        return ""

    def end(self) -> None:
        """Nothing ends here."""


# A member's process
# ---------------------------------------------------------------------------------------------------


async def _member(fleet: ClusterSettings, pools: bool) -> None:
    """Does what a line on stdin asks, one JSON line for each."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    service = ClusterService(fleet, fleet.me)
    if pools:
        service.connection_leases = ConnectionLeases(
            fleet, ActorScheduler(loop), service.clock.monotonic_ms, 30_000.0, Idle()
        )
        service.connection_leases.update_servers(f"s{at}" for at in range(SERVERS))
        for at in range(SERVERS):
            lease = service.connection_leases.create_lease(f"s{at}")
            assert lease is not None
            lease.upstream = Wanting()
    service.start()
    profile: cProfile.Profile | None = None
    while line := await reader.readline():
        asked = json.loads(line)
        match asked["do"]:
            case "load":
                made: Any = await _load(service, asked["under_way"], asked["seconds"])
            case "profile":
                profile = cProfile.Profile()
                profile.enable()
                made = None
            case "profiled":
                assert profile is not None
                profile.disable()
                pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime").print_stats(45)
                made = None
            case _:
                made = service.status()
        print(json.dumps([time.process_time(), made]), flush=True)
    service.close()


async def _load(service: ClusterService, under_way: int, seconds: float) -> list[float]:
    """Promise without a pause, so many under way; ms that each acknowledged one took."""
    took: list[float] = []
    until = time.monotonic() + seconds
    prefix = f"{service.member}-{time.monotonic_ns()}"

    async def one(which: int) -> None:
        at = 0
        while (begun := time.monotonic()) < until:
            at += 1
            name = f"{prefix}-{which}-{at % 32}"
            result = await service.call(PutValue(id=f"{prefix}-{which}-{at}", name=name, value=VALUE))
            if isinstance(result, ApplyResult) and result.error is None and time.monotonic() < until:
                took.append((time.monotonic() - begun) * 1000.0)

    await asyncio.gather(*(one(which) for which in range(under_way)))
    return took


class Member:
    """Its process, from here."""

    def __init__(self, fleet: ClusterSettings, pools: bool) -> None:
        settings = msgspec.json.encode(fleet).decode()
        command = [
            sys.executable,
            "-m",
            "badgeryoke.testbed.cluster_benchmark",
            "member",
            json.dumps(pools),
            settings,
        ]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def ask(self, **what: Any) -> None:
        """Write the line; `told` has the answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(what) + "\n")
        self.process.stdin.flush()

    def told(self) -> tuple[float, Any]:
        """CPU seconds so far, and the answer."""
        assert self.process.stdout is not None
        cpu, made = json.loads(self.process.stdout.readline())
        return cpu, made

    def end(self) -> None:
        """Its stdin ends, and it with that."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(10.0)


def _ports(count: int) -> list[int]:
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    try:
        return [one.getsockname()[1] for one in held]
    finally:
        for one in held:
            one.close()


class Stage:
    """A fleet of such members, founded and with a leader for each group."""

    def __init__(
        self, members: int, copies: int, groups: int = 8, fsync: bool = True, pools: bool = False
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="bench-fleet-")
        entries = tuple(
            MemberEntry(f"m{at}", "hall-" + "ab"[at % 2], f"127.0.0.1:{port}")
            for at, port in enumerate(_ports(members))
        )
        self.members = [
            Member(
                ClusterSettings(
                    True,
                    "bench",
                    one.name,
                    str(Path(self._folder.name) / one.name),
                    copies,
                    groups,
                    entries,
                    fsync=fsync,
                    servers=Servers(24 if pools else 0),
                ),
                pools,
            )
            for one in entries
        ]
        until = time.monotonic() + 30.0
        while not self._whole(groups):
            if time.monotonic() > until:
                self.end()
                raise TimeoutError("the fleet did not come up")
            time.sleep(0.2)
        time.sleep(SETTLE_S)

    def _whole(self, groups: int) -> bool:
        led: dict[str, str] = {}
        for _, status in self.all(do="status"):
            led.update({group: one["leader"] for group, one in status["groups"].items() if one["leader"]})
        return len(led) == groups + 1

    def all(self, **what: Any) -> list[tuple[float, Any]]:
        """Ask all at once."""
        for one in self.members:
            one.ask(**what)
        return [one.told() for one in self.members]

    def end(self) -> None:
        """All processes and folders."""
        for one in self.members:
            one.end()
        self._folder.cleanup()

    def __enter__(self) -> Stage:
        return self

    def __exit__(self, *_: object) -> None:
        self.end()


def idle(members: int = 5, groups: int = 8, seconds: float = 10.0, profile: bool = False) -> None:
    """CPU of members that have nothing to do."""
    with Stage(members, min(3, members), groups, pools=True) as stage:
        if profile:
            stage.members[0].ask(do="profile")
            stage.members[0].told()
        before = stage.all(do="status")
        begun = time.monotonic()
        time.sleep(seconds)
        after = stage.all(do="status")
        took = time.monotonic() - begun
        if profile:
            stage.members[0].ask(do="profiled")
            stage.members[0].told()
        for (cpu, was), (later, now) in zip(before, after, strict=True):
            sent = sum(one["sent"] for one in now["links"].values()) - sum(
                one["sent"] for one in was["links"].values()
            )
            leads = sum(one["leader"] == now["me"] for one in now["groups"].values())
            print(
                f"{now['me']:14} {(later - cpu) / took * 1000.0:6.1f} ms of CPU a second, "
                f"{sent / took:6.1f} messages, {len(now['groups'])} copies, leads {leads}, "
                f"{(now['store']['transactions'] - was['store']['transactions']) / took:.1f} transactions"
            )


def _figures(stage: Stage, what: str, seconds: float, under_way: int) -> None:
    """Load it from all members at once, so many promises under way in all."""
    each = max(under_way // len(stage.members), 1)
    loading = stage.members if under_way > 1 else stage.members[:1]
    before = stage.all(do="status")
    for one in loading:
        one.ask(do="load", under_way=each, seconds=seconds)
    took = sorted(ms for one in loading for ms in one.told()[1])
    cpu = sum(later - was for (was, _), (later, _) in zip(before, stage.all(do="status"), strict=True))
    print(
        f"{what}, {each * len(loading)} under way: {len(took) / seconds:7.0f} a second, p50 "
        f"{took[len(took) // 2]:6.1f} ms, p99 {took[len(took) * 99 // 100]:6.1f} ms, "
        f"{cpu / max(len(took), 1) * 1e6:6.0f} us of CPU each, all members",
        flush=True,
    )


def promises(seconds: float) -> None:
    """One process without copies, then three and five with."""
    for fsync in (True, False):
        for copies in (1, 3, 5):
            with Stage(copies, copies, fsync=fsync) as stage:
                for under_way in (1, 60):
                    _figures(stage, f"copies {copies}, fsync {'on ' if fsync else 'off'}", seconds, under_way)


def by_groups(seconds: float) -> None:
    """Three members, three copies."""
    for groups in (1, 4, 16):
        with Stage(3, 3, groups) as stage:
            _figures(stage, f"groups {groups:2}, copies 3, fsync on", seconds, 60)


def messages() -> None:
    """An idle fleet in simulated time: five seconds of it, from when it has been founded for long."""
    for members in (3, 40, 200):
        world = SimulatedCluster(Plan(seed=1, members=members, halls=2, length_ms=25_000.0))
        for name in world.machines:
            world.start(name)
        world.event_queue.run(20_000.0)
        before = dict(world.network.messages)
        world.event_queue.run(25_000.0)
        sent = sorted((many - before.get(name, 0)) / 5.0 for name, many in world.network.messages.items())
        founded = sum(
            one.node is not None and one.node.bootstrap.record is not None for one in world.machines.values()
        )
        print(
            f"{members:3} members, {founded} founded: {sum(sent) / members:6.1f} messages a second each, least "
            f"{sent[0]:.1f}, middle {sent[len(sent) // 2]:.1f}, most {sent[-1]:.1f}",
            flush=True,
        )


def rules(rounds: int = 7) -> None:
    """The same seeds played with the checks, and with an object in their place that looks at nothing."""
    checked = RaftNode._check, Invariants.check
    took: dict[bool, list[float]] = {True: [], False: []}
    for at in range(2 * rounds):
        on = at % 2 == 0
        if on:
            RaftNode._check, Invariants.check = checked  # type: ignore[method-assign]
        else:
            RaftNode._check = lambda self, rule, holds, facts: bool(holds)  # type: ignore[method-assign]
            Invariants.check = lambda self, rule, holds, facts: bool(holds)  # type: ignore[method-assign]
        begun = time.process_time()
        for seed in (9, 18):
            play_seed(seed, 5, "lossless")
        took[on].append(time.process_time() - begun)
    RaftNode._check, Invariants.check = checked  # type: ignore[method-assign]
    ratio = statistics.median(one / off for one, off in zip(took[True], took[False], strict=True))
    print(
        f"checked {min(took[True]):.2f} s, not {min(took[False]):.2f} s, ratio {ratio:.3f} (middle of {rounds} pairs)"
    )


def _cpu(stage: EmulatedRun) -> float:
    """CPU seconds of its first gateway, all threads."""
    process = stage._gateways[0].process
    assert process is not None
    return (
        sum(int(one.read_text().split()[0]) for one in Path(f"/proc/{process.pid}/task").glob("*/schedstat"))
        / 1e9
    )


async def _queries(stage: EmulatedRun, rate: float, seconds: float) -> dict[str, int]:
    """Ask its first gateway at an even rate; how they ended."""
    loop, counts, out = asyncio.get_running_loop(), dict[str, int](), [0]
    begun = loop.time()

    def done(kind: str, wait_ms: float) -> None:
        out[0] -= 1
        counts[kind] = counts.get(kind, 0) + 1

    for at in range(int(rate * seconds)):
        await asyncio.sleep(max(begun + at / rate - loop.time(), 0.0))
        stage._requests_sent += 1
        out[0] += 1
        fields = f"c=balance-check,t=dealer,d={DEADLINE_MS:.0f},units=1,spread=1,first=0".encode()
        if not stage._pools[0].submit(
            encode_command(b"SVC.QUERY", b"%016x" % 1, b"%016x" % stage._requests_sent, fields), done
        ):
            done("refused", 0.0)
    while out[0]:
        await asyncio.sleep(0.005)
    return counts


async def ratio(rate: float, pairs: int, seconds: float = 1.5, members: int = 5) -> None:
    """CPU of a real gateway of no fleet, and of one of a fleet, under the same queries in turns."""
    base = Scenario(
        "bench",
        gateways=1,
        started=1,
        watch=False,
        servers=8,
        work_ms=(4.0, 8.0),
        slots=64,
        plans=(PlanText("dealer", 1e5, 1e5, 1e5, 1e5),),
        counter_calls=1e5,
    )
    stages = {
        "off": EmulatedRun(base, 1),
        "on": EmulatedRun(
            replace(base, gateways=members, started=members, fleet=True, halls=2, connections=24), 1
        ),
    }
    used: dict[str, list[float]] = {"off": [], "on": []}
    idle_: dict[str, list[float]] = {"off": [], "on": []}
    ends: dict[str, dict[str, int]] = {"off": {}, "on": {}}
    loop = asyncio.get_running_loop()
    try:
        for stage in stages.values():
            await stage.open()
            await _queries(stage, rate, 2.0)
        await asyncio.sleep(SETTLE_S)
        for _ in range(pairs):
            for kind, stage in stages.items():
                for what, many in ((idle_, 0.0), (used, rate)):
                    before, begun = _cpu(stage), loop.time()
                    if many:
                        for end, count in (await _queries(stage, many, seconds)).items():
                            ends[kind][end] = ends[kind].get(end, 0) + count
                    else:
                        await asyncio.sleep(seconds)
                    what[kind].append((_cpu(stage) - before) / (loop.time() - begun) * 1000.0)
    finally:
        for stage in stages.values():
            await stage.close()
    for kind in stages:
        print(
            f"{kind:3}: {statistics.median(used[kind]):6.1f} ms of CPU a second at {rate:.0f} queries a second, idle "
            f"{statistics.median(idle_[kind]):5.1f} ({min(idle_[kind]):.1f} to {max(idle_[kind]):.1f}); {ends[kind]}"
        )
    parts = sorted(on / off for off, on in zip(used["off"], used["on"], strict=True))
    print(f"ratio {statistics.median(parts):.3f}, {parts[0]:.3f} to {parts[-1]:.3f}, of {pairs} pairs")


def main(given: list[str]) -> None:
    """See above."""
    logging.basicConfig(level=logging.ERROR)
    match given:
        case ["member", pools, fleet]:
            asyncio.run(_member(msgspec.json.decode(fleet, type=ClusterSettings), json.loads(pools)))
        case ["idle"]:
            idle()
        case ["idle", members, groups]:
            idle(int(members), int(groups))
        case ["profile"]:
            idle(profile=True)
        case ["promises", *rest]:
            promises(float(rest[0]) if rest else 4.0)
        case ["groups", *rest]:
            by_groups(float(rest[0]) if rest else 4.0)
        case ["messages"]:
            messages()
        case ["rules"]:
            rules()
        case ["ratio", *rest]:
            asyncio.run(ratio(float(rest[0]) if rest else 800.0, int(rest[1]) if rest[1:] else 12))
        case _:
            print(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
