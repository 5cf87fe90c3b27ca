"""One real gateway process, started as the platform starts it: `run`, LB_CONFIG and the other variables."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import resource
import shutil
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgeryoke.testbed.scenario.model import Scenario

ROOT = Path(__file__).resolve().parents[3]
STORAGE_FOLDER = "fleet"  # folder of a gateway's cluster storage
COUNTER_HEALTH_LINE = re.compile(r"counter believed (\w+): ([^\[]*?)(?:, gateways (\[.*\]))?$")


def wire_settings(scenario: Scenario, index: int) -> dict[str, Any]:
    """The settings object of a gateway's configuration file, under the platform's names."""
    return {
        "me": index,
        "instances": scenario.gateways,
        "zone": "hall-a",
        "zones": ["hall-a"],
        "tick_ms": 4.0,
        "kinds": ["std"],
        "discovery": "automatic",
        "weight_kind": "rough",
        "classes": [
            {
                "name": "balance-check",
                "slo_ms": 400.0,
                "deadline_ms": 2000.0,
                "idempotency": "idempotent",
                "group": "all",
                "window_ms": 0.0,
                "worth": 1.0,
            }
        ],
        "contracts": [
            {
                "name": plan.name,
                "units_per_s": plan.rate,
                "most_at_once": plan.burst,
                "open": 0,
                "worth_factor": plan.price,
                "over_worth": 0.0,
                "beyond_costs": plan.over_cost,
                "hard_rate": plan.ceiling_rate,
                "cap_depth": plan.ceiling_burst,
                "tolerance": plan.slack,
            }
            for plan in scenario.plans
        ],
        "family_info": {
            "has_counter": True,
            "counter_timeout_ms": scenario.counter_timeout_ms,
            "max_units": max(
                (customer_group.units[1] for customer_group in scenario.customer_groups), default=1
            ),
            "trued_up": True,
        },
        "feedback": {"fields": ["lat_ms", "rif"], "how": "answers"},
        "policy_limits": {
            "try_limit": 3,
            "cancelling": True,
            "probes": False,
            "retry_after": True,
            "max_retry_after_ms": 1000.0,
            "dial_timeout_ms": 250.0,
            "conn_idle_ms": 30_000.0,
        },
        "rules": {
            "answer_slack_ms": 16.0,
            "cold_from": 0.16,
            "warm_within_ms": 14_000.0,
            "fall_multiple": 3.0,
            "overload_for_ms": 1500.0,
            "drain_grace_ms": 250.0,
        },
    }


class GatewayProcess:
    """One gateway process and its log."""

    def __init__(
        self,
        scenario: Scenario,
        index: int,
        folder: Path,
        listen: tuple[str, int],
        agent_port: int,
        counter_port: int,
        endpoint_list: bytes,
        on_log_line: Callable[[int, str], None],
        management_address: str = "",
        cluster_config: str = "",
    ) -> None:
        self.index, self._on_log_line = index, on_log_line
        self._folder = folder / f"gateway-{index + 1}"
        (self._folder / "deploy").mkdir(parents=True, exist_ok=True)
        watch = "true" if scenario.watch else "false"
        (self._folder / "deploy" / "badgeryoke.toml").write_text(
            f"[counter_watch]\nenabled = {watch}\n{cluster_config}"
        )
        self.storage = self._folder / STORAGE_FOLDER
        self.wipe_storage()  # removes the storage of an earlier run in the same folder
        (self._folder / "log").unlink(missing_ok=True)
        self._management_address = management_address
        self._config = self._folder / "config.json"
        self._listen, self._agent_address = f"{listen[0]}:{listen[1]}", f"127.0.0.1:{agent_port}"
        self._config.write_text(
            json.dumps(
                {
                    "name": f"g{index + 1}",
                    "listen": self._listen,
                    "discovery": self._agent_address,
                    "seed": f"{index + 17:x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "counter": f"127.0.0.1:{counter_port}",
                    "known": json.loads(endpoint_list),
                    "settings": wire_settings(scenario, index),
                }
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        self.peak_kb = 0

    async def start(self) -> None:
        """Start the process and read its log while it runs."""
        environ = dict(
            os.environ,
            LB_CONFIG=str(self._config),
            LB_NAME=f"g{self.index + 1}",
            LB_LISTEN=self._listen,
            LB_DISCOVERY=self._agent_address,
        )
        if self._management_address:
            environ["LB_MGMT"] = self._management_address
        environ["PYTHONPATH"] = os.pathsep.join(filter(None, [str(ROOT), environ.get("PYTHONPATH", "")]))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgeryoke",
            cwd=self._folder,
            env=environ,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self._folder / "log").open("ab", 0) as log:
            async for line in process.stderr:
                log.write(line)
                self._on_log_line(self.index, line.decode(errors="replace").rstrip())

    def update_peak_memory(self) -> None:
        """Update the peak memory."""
        if self.process is not None and self.process.returncode is None:
            try:
                status = Path(f"/proc/{self.process.pid}/status").read_text()
            except OSError:
                return
            match = re.search(r"VmHWM:\s+(\d+)", status)
            self.peak_kb = max(self.peak_kb, int(match.group(1)) if match else 0)

    @property
    def running(self) -> bool:
        """Whether the process exists, frozen or not."""
        return self.process is not None and self.process.returncode is None

    def freeze(self, on: bool) -> None:
        """Send SIGSTOP or SIGCONT."""
        if self.process is not None and self.running:
            self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def set_disk_full(self, on: bool) -> None:
        """Emulate a full disk: set the process's file size limit to 0, or restore it."""
        if self.process is not None and self.running:
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0 if on else hard, hard))

    def wipe_storage(self) -> None:
        """Remove the cluster storage, as with a lost disk."""
        shutil.rmtree(self.storage, ignore_errors=True)

    def corrupt_storage(self, rng: random.Random) -> bool:
        """Flip one bit in the middle half of the largest file of the cluster storage; False if there is no file of
        16 bytes or more."""
        files = sorted(
            (path for path in self.storage.rglob("*") if path.is_file()), key=lambda path: path.stat().st_size
        )
        if not files or files[-1].stat().st_size < 16:
            return False
        with files[-1].open("r+b") as file:
            size = files[-1].stat().st_size
            offset = rng.randrange(size // 4, size - size // 4)
            file.seek(offset)
            byte = file.read(1)[0]
            file.seek(offset)
            file.write(bytes([byte ^ 1 << rng.randrange(8)]))
        return True

    async def kill(self) -> None:
        """Send SIGKILL to this process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL if the process has not ended after 6 s."""
        if self.process is None or self.process.returncode is not None:
            return
        self.freeze(False)
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 6.0)
        except TimeoutError:
            await self.kill()
        if self._reader is not None:
            await self._reader
