"""The frame of a case: its arguments, its time limit, its exit code."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.support.stand_ins import Record, end_with_parent

HELD, NOT_RUN = 0, 2
BROKEN = 10  # not 1, with which Python itself ends after a fault; `run.sh` makes it 1
TIME_LIMIT_S = 110.0  # a script may take 120 s


class CannotRunError(Exception):
    """Something that the case needs has not come about, so there is no verdict."""


def run_case(run: Callable[[bool, Record, Path], Awaitable[bool]]) -> None:
    """Run a case and exit: `run` gets whether to make trouble, and returns whether the rule held."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--record", type=Path, required=True)
    parser.add_argument("--trouble", type=int, choices=(0, 1), default=1)
    arguments = parser.parse_args()
    record = Record(arguments.record)

    end_with_parent(signal.SIGTERM)

    async def limited(folder: Path) -> bool:
        # A signal cancels the run, so that its own clean-up ends what it has started.
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await run(bool(arguments.trouble), record, folder)

    try:
        with tempfile.TemporaryDirectory() as folder:
            code = HELD if asyncio.run(limited(Path(folder))) else BROKEN
    except (Exception, asyncio.CancelledError) as fault:  # the stand-ins' own faults are no verdict either
        record.write(traceback.format_exc())
        record.say(f"the case could not run: {type(fault).__name__}: {fault}")
        code = NOT_RUN
    verdicts = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.say(f"verdict: {verdicts[code]}")
    sys.exit(code)
