"""Golden files of the gateway: read and compared here, never written."""

from __future__ import annotations

from collections.abc import Iterable

from tests.support.paths import ROOT

GATEWAY = ROOT / "tests" / "golden" / "gateway"


def golden(name: str) -> bytes:
    """The bytes of one golden file; one that is missing fails the test."""
    return (GATEWAY / name).read_bytes()


def assert_golden(name: str, actual: bytes) -> None:
    """Compare with a golden file; the first difference is told by line."""
    expected = golden(name)
    if actual == expected:
        return
    there, wanted = actual.split(b"\n"), expected.split(b"\n")
    for number, (got, want) in enumerate(zip(there, wanted, strict=False), 1):
        assert got == want, f"{name}, line {number}"
    raise AssertionError(f"{name}: {len(there)} lines, expected {len(wanted)}")


def text_lines(lines: Iterable[str]) -> bytes:
    """Lines of text as the bytes of a file."""
    return "".join(f"{line}\n" for line in lines).encode()


def hex_lines(entries: Iterable[tuple[str, bytes]]) -> bytes:
    """Named byte strings, each as one line of its name and its hex digits."""
    return text_lines(f"{name}: {data.hex()}" for name, data in entries)


def escaped_lines(entries: Iterable[tuple[str, bytes]]) -> bytes:
    """Named byte strings, mostly text: each as one line, what is not printable escaped."""
    return text_lines(f"{name}: {data!r}" for name, data in entries)
