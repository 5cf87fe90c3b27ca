"""Benchmark of a cluster on this machine.

Each member is a process that runs only the cluster service, with links on loopback and its store in a temporary
folder.  Some commands use the simulation or complete gateways instead.

    python -m badgeryoke.testbed.cluster_benchmark COMMAND

    idle [members] [groups]: CPU a second of an idle member
    promises [seconds]: acknowledged writes a second, and their latency
    groups [seconds]: the same with 1, 4 and 16 groups
    messages: messages a second a member, with 3, 40 and 200 members, simulated
    ratio [queries/s] [pairs]: CPU of a complete gateway without a cluster and in one, alternately
    rules: CPU with and without the checks of the invariants

The figures are recorded in docs/measurements.md, "Promises of a fleet".
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

SERVER_COUNT = 8
WRITE_VALUE = "v" * 200
SETTLE_S = 4.0  # wait after the start, before measuring


class StubUpstream:
    """An upstream that always needs two connections."""

    connections_needed = 2

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """Do nothing: no connection is open."""

    def capacity_available(self) -> None:
        """Do nothing: no connection is opened."""


class StubGateway:
    """A gateway without clients, which drains at once."""

    drained, unanswered = False, 0

    def pause(self) -> str:
        """Accept the drain at once; nothing is in the way."""
        return ""

    def resume(self) -> str:
        """Accept the return to service; nothing is in the way."""
        return ""

    def end(self) -> None:
        """Do nothing."""


# A member's process
# ---------------------------------------------------------------------------------------------------


async def _member(fleet: ClusterSettings, pools: bool) -> None:
    """Run a member: execute the JSON command in each line of stdin and print a JSON line with its result."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    service = ClusterService(fleet, fleet.me)
    if pools:
        service.connection_leases = ConnectionLeases(
            fleet, ActorScheduler(loop), service.clock.monotonic_ms, 30_000.0, StubGateway()
        )
        service.connection_leases.update_servers(f"s{at}" for at in range(SERVER_COUNT))
        for at in range(SERVER_COUNT):
            lease = service.connection_leases.create_lease(f"s{at}")
            assert lease is not None
            lease.upstream = StubUpstream()
    service.start()
    profile: cProfile.Profile | None = None
    while line := await reader.readline():
        command = json.loads(line)
        match command["do"]:
            case "load":
                result: Any = await _load(service, command["under_way"], command["seconds"])
            case "profile":
                profile = cProfile.Profile()
                profile.enable()
                result = None
            case "profiled":
                assert profile is not None
                profile.disable()
                pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime").print_stats(45)
                result = None
            case _:
                result = service.status()
        print(json.dumps([time.process_time(), result]), flush=True)
    service.close()


async def _load(service: ClusterService, under_way: int, seconds: float) -> list[float]:
    """Write continuously with `under_way` writes in flight; returns the latency of each acknowledged one in ms."""
    latencies_ms: list[float] = []
    until = time.monotonic() + seconds
    prefix = f"{service.member}-{time.monotonic_ns()}"

    async def write_in_turn(writer: int) -> None:
        at = 0
        while (started_at := time.monotonic()) < until:
            at += 1
            name = f"{prefix}-{writer}-{at % 32}"
            result = await service.call(PutValue(id=f"{prefix}-{writer}-{at}", name=name, value=WRITE_VALUE))
            if isinstance(result, ApplyResult) and result.error is None and time.monotonic() < until:
                latencies_ms.append((time.monotonic() - started_at) * 1000.0)

    await asyncio.gather(*(write_in_turn(writer) for writer in range(under_way)))
    return latencies_ms


class MemberProcess:
    """Handle of a member's process."""

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

    def send_command(self, **command: Any) -> None:
        """Send a command to the process; `read_result` returns its result."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def read_result(self) -> tuple[float, Any]:
        """Read the process's CPU seconds so far, and the result of the command."""
        assert self.process.stdout is not None
        cpu, result = json.loads(self.process.stdout.readline())
        return cpu, result

    def end(self) -> None:
        """Close the process's stdin, which ends it, and wait."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(10.0)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    try:
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class BenchmarkCluster:
    """A cluster of member processes, bootstrapped and with a leader for each group."""

    def __init__(
        self, members: int, copies: int, groups: int = 8, fsync: bool = True, pools: bool = False
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="bench-fleet-")
        entries = tuple(
            MemberEntry(f"m{at}", "hall-" + "ab"[at % 2], f"127.0.0.1:{port}")
            for at, port in enumerate(_free_ports(members))
        )
        self.members = [
            MemberProcess(
                ClusterSettings(
                    True,
                    "bench",
                    entry.name,
                    str(Path(self._folder.name) / entry.name),
                    copies,
                    groups,
                    entries,
                    fsync=fsync,
                    servers=Servers(24 if pools else 0),
                ),
                pools,
            )
            for entry in entries
        ]
        until = time.monotonic() + 30.0
        while not self._has_all_leaders(groups):
            if time.monotonic() > until:
                self.end()
                raise TimeoutError("the cluster did not elect all leaders within 30 s")
            time.sleep(0.2)
        time.sleep(SETTLE_S)

    def _has_all_leaders(self, groups: int) -> bool:
        leaders: dict[str, str] = {}
        for _, status in self.send_to_all(do="status"):
            leaders.update(
                {name: group["leader"] for name, group in status["groups"].items() if group["leader"]}
            )
        return len(leaders) == groups + 1

    def send_to_all(self, **command: Any) -> list[tuple[float, Any]]:
        """Send a command to all members and return their results."""
        for member in self.members:
            member.send_command(**command)
        return [member.read_result() for member in self.members]

    def end(self) -> None:
        """End all processes and remove their folders."""
        for member in self.members:
            member.end()
        self._folder.cleanup()

    def __enter__(self) -> BenchmarkCluster:
        return self

    def __exit__(self, *_: object) -> None:
        self.end()


def measure_idle(members: int = 5, groups: int = 8, seconds: float = 10.0, profile: bool = False) -> None:
    """Measure the CPU use of idle members."""
    with BenchmarkCluster(members, min(3, members), groups, pools=True) as cluster:
        if profile:
            cluster.members[0].send_command(do="profile")
            cluster.members[0].read_result()
        before = cluster.send_to_all(do="status")
        started_at = time.monotonic()
        time.sleep(seconds)
        after = cluster.send_to_all(do="status")
        elapsed = time.monotonic() - started_at
        if profile:
            cluster.members[0].send_command(do="profiled")
            cluster.members[0].read_result()
        for (cpu_before, status_before), (cpu_after, status_after) in zip(before, after, strict=True):
            sent = sum(link["sent"] for link in status_after["links"].values()) - sum(
                link["sent"] for link in status_before["links"].values()
            )
            leads = sum(group["leader"] == status_after["me"] for group in status_after["groups"].values())
            print(
                f"{status_after['me']:14} {(cpu_after - cpu_before) / elapsed * 1000.0:6.1f} ms of CPU a second, "
                f"{sent / elapsed:6.1f} messages, {len(status_after['groups'])} copies, leads {leads}, "
                f"{(status_after['store']['transactions'] - status_before['store']['transactions']) / elapsed:.1f} "
                "transactions"
            )


def _measure_writes(cluster: BenchmarkCluster, label: str, seconds: float, under_way: int) -> None:
    """Write through all members at once, with `under_way` writes in flight in all, and print the figures."""
    each = max(under_way // len(cluster.members), 1)
    loading = cluster.members if under_way > 1 else cluster.members[:1]
    before = cluster.send_to_all(do="status")
    for member in loading:
        member.send_command(do="load", under_way=each, seconds=seconds)
    latencies_ms = sorted(ms for member in loading for ms in member.read_result()[1])
    cpu = sum(
        cpu_after - cpu_before
        for (cpu_before, _), (cpu_after, _) in zip(before, cluster.send_to_all(do="status"), strict=True)
    )
    print(
        f"{label}, {each * len(loading)} under way: {len(latencies_ms) / seconds:7.0f} a second, p50 "
        f"{latencies_ms[len(latencies_ms) // 2]:6.1f} ms, p99 {latencies_ms[len(latencies_ms) * 99 // 100]:6.1f} ms, "
        f"{cpu / max(len(latencies_ms), 1) * 1e6:6.0f} us of CPU each, all members",
        flush=True,
    )


def measure_writes(seconds: float) -> None:
    """Measure writes with one, three and five replicas."""
    for fsync in (True, False):
        for copies in (1, 3, 5):
            with BenchmarkCluster(copies, copies, fsync=fsync) as cluster:
                for under_way in (1, 60):
                    _measure_writes(
                        cluster, f"copies {copies}, fsync {'on ' if fsync else 'off'}", seconds, under_way
                    )


def measure_groups(seconds: float) -> None:
    """Measure writes with three members and replicas, by the number of groups."""
    for groups in (1, 4, 16):
        with BenchmarkCluster(3, 3, groups) as cluster:
            _measure_writes(cluster, f"groups {groups:2}, copies 3, fsync on", seconds, 60)


def measure_messages() -> None:
    """Count the messages of an idle cluster in 5 s of simulated time, 20 s after its start."""
    for members in (3, 40, 200):
        world = SimulatedCluster(Plan(seed=1, members=members, halls=2, length_ms=25_000.0))
        for name in world.machines:
            world.start(name)
        world.event_queue.run(20_000.0)
        before = dict(world.network.messages)
        world.event_queue.run(25_000.0)
        sent = sorted((many - before.get(name, 0)) / 5.0 for name, many in world.network.messages.items())
        founded = sum(
            machine.node is not None and machine.node.bootstrap.record is not None
            for machine in world.machines.values()
        )
        print(
            f"{members:3} members, {founded} founded: {sum(sent) / members:6.1f} messages a second each, least "
            f"{sent[0]:.1f}, middle {sent[len(sent) // 2]:.1f}, most {sent[-1]:.1f}",
            flush=True,
        )


def measure_invariants(rounds: int = 7) -> None:
    """Compare the CPU time of the same seeds with the invariant checks and with stubs in their place."""
    checked = RaftNode._check, Invariants.check
    cpu_s: dict[bool, list[float]] = {True: [], False: []}
    for at in range(2 * rounds):
        on = at % 2 == 0
        if on:
            RaftNode._check, Invariants.check = checked  # type: ignore[method-assign]
        else:
            RaftNode._check = lambda self, rule, holds, facts: bool(holds)  # type: ignore[method-assign]
            Invariants.check = lambda self, rule, holds, facts: bool(holds)  # type: ignore[method-assign]
        started_at = time.process_time()
        for seed in (9, 18):
            play_seed(seed, 5, "lossless")
        cpu_s[on].append(time.process_time() - started_at)
    RaftNode._check, Invariants.check = checked  # type: ignore[method-assign]
    ratio = statistics.median(
        checked_s / unchecked_s for checked_s, unchecked_s in zip(cpu_s[True], cpu_s[False], strict=True)
    )
    print(
        f"checked {min(cpu_s[True]):.2f} s, not {min(cpu_s[False]):.2f} s, "
        f"ratio {ratio:.3f} (middle of {rounds} pairs)"
    )


def _cpu(stage: EmulatedRun) -> float:
    """CPU seconds of the first gateway, all threads."""
    process = stage._gateways[0].process
    assert process is not None
    return (
        sum(
            int(schedstat.read_text().split()[0])
            for schedstat in Path(f"/proc/{process.pid}/task").glob("*/schedstat")
        )
        / 1e9
    )


async def _send_requests(stage: EmulatedRun, rate: float, seconds: float) -> dict[str, int]:
    """Send requests to the first gateway at a constant rate; returns the number of each outcome."""
    loop, counts, out = asyncio.get_running_loop(), dict[str, int](), [0]
    started_at = loop.time()

    def done(kind: str, wait_ms: float) -> None:
        out[0] -= 1
        counts[kind] = counts.get(kind, 0) + 1

    for at in range(int(rate * seconds)):
        await asyncio.sleep(max(started_at + at / rate - loop.time(), 0.0))
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


async def measure_ratio(rate: float, pairs: int, seconds: float = 1.5, members: int = 5) -> None:
    """Compare the CPU use of a gateway without a cluster and of one in a cluster, under the same load in turns."""
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
    loaded_cpu: dict[str, list[float]] = {"off": [], "on": []}
    idle_cpu: dict[str, list[float]] = {"off": [], "on": []}
    outcomes: dict[str, dict[str, int]] = {"off": {}, "on": {}}
    loop = asyncio.get_running_loop()
    try:
        for stage in stages.values():
            await stage.open()
            await _send_requests(stage, rate, 2.0)
        await asyncio.sleep(SETTLE_S)
        for _ in range(pairs):
            for kind, stage in stages.items():
                for samples, request_rate in ((idle_cpu, 0.0), (loaded_cpu, rate)):
                    before, started_at = _cpu(stage), loop.time()
                    if request_rate:
                        for end, count in (await _send_requests(stage, request_rate, seconds)).items():
                            outcomes[kind][end] = outcomes[kind].get(end, 0) + count
                    else:
                        await asyncio.sleep(seconds)
                    samples[kind].append((_cpu(stage) - before) / (loop.time() - started_at) * 1000.0)
    finally:
        for stage in stages.values():
            await stage.close()
    for kind in stages:
        print(
            f"{kind:3}: {statistics.median(loaded_cpu[kind]):6.1f} ms of CPU a second at {rate:.0f} queries a second, "
            f"idle {statistics.median(idle_cpu[kind]):5.1f} ({min(idle_cpu[kind]):.1f} to "
            f"{max(idle_cpu[kind]):.1f}); {outcomes[kind]}"
        )
    ratios = sorted(on / off for off, on in zip(loaded_cpu["off"], loaded_cpu["on"], strict=True))
    print(f"ratio {statistics.median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}, of {pairs} pairs")


def main(arguments: list[str]) -> None:
    """Run a command of the module's docstring."""
    logging.basicConfig(level=logging.ERROR)
    match arguments:
        case ["member", pools, fleet]:
            asyncio.run(_member(msgspec.json.decode(fleet, type=ClusterSettings), json.loads(pools)))
        case ["idle"]:
            measure_idle()
        case ["idle", members, groups]:
            measure_idle(int(members), int(groups))
        case ["profile"]:
            measure_idle(profile=True)
        case ["promises", *rest]:
            measure_writes(float(rest[0]) if rest else 4.0)
        case ["groups", *rest]:
            measure_groups(float(rest[0]) if rest else 4.0)
        case ["messages"]:
            measure_messages()
        case ["rules"]:
            measure_invariants()
        case ["ratio", *rest]:
            asyncio.run(measure_ratio(float(rest[0]) if rest else 800.0, int(rest[1]) if rest[1:] else 12))
        case _:
            print(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
