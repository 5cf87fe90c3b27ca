"""Golden files of the gateway: read and compared here, never written."""

from __future__ import annotations

from collections.abc import Iterable

from tests.support.paths import ROOT

GATEWAY = ROOT / "tests" / "golden" / "gateway"


def golden(name: str) -> bytes:
    """Return the bytes of a golden file; raises FileNotFoundError if it is missing."""
    return (GATEWAY / name).read_bytes()


def assert_golden(name: str, actual: bytes) -> None:
    """Compare with a golden file; the failure names the first line that differs."""
    expected = golden(name)
    if actual == expected:
        return
    actual_lines, expected_lines = actual.split(b"\n"), expected.split(b"\n")
    for number, (actual_line, expected_line) in enumerate(zip(actual_lines, expected_lines, strict=False), 1):
        assert actual_line == expected_line, f"{name}, line {number}"
    raise AssertionError(f"{name}: {len(actual_lines)} lines, expected {len(expected_lines)}")


def text_lines(lines: Iterable[str]) -> bytes:
    """Return lines of text as the bytes of a file."""
    return "".join(f"{line}\n" for line in lines).encode()


def hex_lines(entries: Iterable[tuple[str, bytes]]) -> bytes:
    """Return one line for each named byte string: its name and its hex digits."""
    return text_lines(f"{name}: {data.hex()}" for name, data in entries)


def escaped_lines(entries: Iterable[tuple[str, bytes]]) -> bytes:
    """Return one line for each named byte string, with unprintable bytes escaped."""
    return text_lines(f"{name}: {data!r}" for name, data in entries)
