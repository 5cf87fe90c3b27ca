"""Backends that pause for seconds while they write a long value: does the gateway pass on what they still give?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
import stand

VALUE_BYTES = 1024 * 1024  # "up to 4 MiB"
PAUSE_S = 3.4 if stand.TROUBLE else 0.0  # "peers take seconds to read or write"
PIECE_BYTES = 100_000  # "in pieces of any size"
REQUESTS, AT_ONCE = 48, 6
PAUSED_EVERY = 4  # one answer in four


def value_of(request_id: str) -> bytes:
    """The value that a backend makes for a request."""
    unit = request_id.encode() + b"."
    return (unit * (VALUE_BYTES // len(unit) + 1))[:VALUE_BYTES]


def pause_place(request_id: str) -> int:
    """After how many pieces the backend pauses; 0: not at all."""
    number = int(request_id, 16) // 100
    return 1 + number // PAUSED_EVERY % 9 if number % PAUSED_EVERY == 0 else 0


async def give_in_pieces(
    backend: stand.Backend, ask: stand.Ask, writer: asyncio.StreamWriter, _reader: asyncio.StreamReader
) -> None:
    """Work, then give the value in pieces, with one pause for some answers; nothing is left out."""
    await asyncio.sleep(0.04)
    data = stand.served(value_of(ask.id), ask.fields["units"])
    for index, at in enumerate(range(0, len(data), PIECE_BYTES)):
        if index and index == pause_place(ask.id):
            await asyncio.sleep(PAUSE_S)
        writer.write(data[at : at + PIECE_BYTES])
        await writer.drain()
        await asyncio.sleep(0.005)


async def one_request(gateway: stand.Gateway, number: int, record: stand.Record) -> str:
    """Ask until the gateway takes the request; returns what came of it."""
    for attempt in range(40):
        request_id = f"{number * 100 + attempt:016x}"
        reader, writer = await asyncio.open_connection(stand.HOST, gateway.port, limit=1024 * 1024)
        words = stand.fields("balance-check")
        writer.write(stand.command("SVC.QUERY", f"{number + 1:016x}", request_id, words))
        try:
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n"), 4.0))[:-2]
            if head[:1] == b"-":
                record(f"{request_id} {head.decode()}")
                await asyncio.sleep(0.2)
                continue
            value = (await asyncio.wait_for(reader.readexactly(int(head[1:]) + 2), 20.0))[:-2]
        except asyncio.IncompleteReadError as cut:
            record(
                f"{request_id} pause after piece {pause_place(request_id)}: CUT, {len(cut.partial)} bytes came"
            )
            return "cut"
        except (OSError, TimeoutError) as fault:
            record(f"{request_id} pause after piece {pause_place(request_id)}: {type(fault).__name__}")
            return "cut"
        finally:
            writer.close()
        right = value == value_of(request_id)
        record(f"{request_id} pause after piece {pause_place(request_id)}: {'whole' if right else 'WRONG'}")
        return "whole" if right else "wrong"
    return "refused"


async def body(record: stand.Record, folder: Path) -> int:
    """Ask for long values, a few at a time."""
    backends = [stand.Backend(f"s-{number}", give_in_pieces) for number in range(4)]
    discovery, counter = stand.Discovery(), stand.Counter()
    for peer in (*backends, discovery, counter):
        await peer.open()
    for backend in backends:
        discovery.put(backend.entry())
    gateway = stand.Gateway(0, stand.settings(0, 1), folder, discovery.port, counter.port)
    results: list[str] = []
    try:
        await gateway.start()
        for first in range(0, REQUESTS, AT_ONCE):
            asked = (one_request(gateway, first + index, record) for index in range(AT_ONCE))
            results += await asyncio.gather(*asked)
        if gateway.ended:
            return stand.verdict_of_end(gateway, record)
    finally:
        await gateway.stop()
        record(gateway.log())
    record.say(
        f"{len(results)} requests: " + ", ".join(f"{results.count(r)} {r}" for r in sorted(set(results)))
    )
    if results.count("refused") > REQUESTS // 4:
        return stand.COULD_NOT_RUN
    return stand.BROKEN if "cut" in results or "wrong" in results else stand.HELD


asyncio.run(stand.play(Path(__file__).resolve().with_name("record.txt"), body))
