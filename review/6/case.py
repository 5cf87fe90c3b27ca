"""Debits at Diameter servers whose keys share a CRC-32: does each run, and does each client get its own result?"""

from __future__ import annotations

import asyncio
import random
import sys
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
import diameter
import stand

PAIRS = 12
WINDOW_S = 1.0  # "every load node drops a repeat for 1 s"
BETWEEN_S = 0.3
DIAMETER_FILE = """enabled = true
origin_host = "gw1.yoke.example"
origin_realm = "yoke.example"
server_kinds = ["diameter"]
[plans]
1 = "dealer"
"""
rng = random.Random()


def draw_pairs() -> list[tuple[str, str]]:
    """Pairs of random keys of 64 bits; with the trouble, such pairs as chance gives the same CRC-32."""
    pairs: list[tuple[str, str]] = []
    by_checksum: dict[int, str] = {}
    while len(pairs) < PAIRS:
        key = f"{rng.getrandbits(64):016x}"
        if not stand.TROUBLE:
            pairs.append((key, f"{rng.getrandbits(64):016x}"))
        elif (other := by_checksum.setdefault(zlib.crc32(key.encode()), key)) != key:
            pairs.append((other, key))
    return pairs


async def debit(gateway: stand.Gateway, number: int, key: str, record: stand.Record) -> str:
    """Send one keyed request until it is taken; returns the answer."""
    customer = f"{number + 1:016x}"
    for attempt in range(20):
        request_id = f"{number * 100 + attempt:016x}"
        reader, writer = await asyncio.open_connection(stand.HOST, gateway.port)
        words = stand.fields("load-send", key=key)
        writer.write(stand.command("SVC.SUBMIT", customer, request_id, words))
        answer = await asyncio.wait_for(stand.read_value(reader), 3.0)
        writer.close()
        text = answer.decode() if isinstance(answer, bytes) else str(answer)
        record(f"customer {customer}, key {key}: {text}")
        if not text.startswith("-BUSY"):
            return text
        await asyncio.sleep(0.2)
    return "refused"


async def body(record: stand.Record, folder: Path) -> int:
    """Send each pair's debits one after the other, for two customers."""
    seen = diameter.Seen(WINDOW_S)
    servers = [diameter.DiameterServer(f"s-{number}", seen, record) for number in range(4)]
    discovery, counter = stand.Discovery(), stand.Counter()
    for peer in (*servers, discovery, counter):
        await peer.open()
    for server in servers:
        discovery.put(server.entry())
    root = stand.root_with(folder, DIAMETER_FILE)
    gateway = stand.Gateway(0, stand.settings(0, 1), folder, discovery.port, counter.port, root=root)
    right = foreign = other = 0
    try:
        await gateway.start()
        for index, pair in enumerate(draw_pairs()):
            for place, key in enumerate(pair):
                number = index * 2 + place
                answer = await debit(gateway, number, key, record)
                right += answer == f"charged {number + 1:016x}"
                foreign += answer.startswith("charged ") and answer != f"charged {number + 1:016x}"
                other += not answer.startswith("charged ")
                await asyncio.sleep(BETWEEN_S)
        if gateway.ended:
            return stand.verdict_of_end(gateway, record)
    finally:
        await gateway.stop()
        record(gateway.log())
    record.say(
        f"{2 * PAIRS} debits: {right} told their own result, {foreign} told another customer's, "
        f"{other} refused or failed; {len(seen.debits)} ran at the servers"
    )
    if right < PAIRS:
        return stand.COULD_NOT_RUN
    return stand.BROKEN if foreign else stand.HELD


asyncio.run(stand.play(Path(__file__).resolve().with_name("record.txt"), body))
