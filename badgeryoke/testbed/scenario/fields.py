"""Typed parsing of a section's fields; every error states line, column and the invalid word.

Times carry ms, s or min, rates /s, amounts u, fractions %, multiples x; a range is written 4..7.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable

from badgeryoke.testbed.scenario.sexpr import Form, Node, Quantity, TextError, Word


def nearest(word: str, known: list[str]) -> str:
    """A hint with the closest known word, or with all known words if none is close."""
    close = difflib.get_close_matches(word, known, 1)
    return f"did you mean {close[0]!r}?" if close else f"known are {', '.join(sorted(known))}"


def error_at(node: Node, problem: str) -> TextError:
    """An error at a node's line and column."""
    return TextError(node.line, node.column, problem)


def read_quantity(
    form: Form, index: int, measures: str, minimum: float = 0.0, maximum: float = 1e9
) -> Quantity:
    """The quantity at an index; it has to have the field's unit and be within bounds."""
    if index >= len(form.items):
        raise error_at(form, f"{form.head}: a {measures} is missing")
    node = form.items[index]
    text = getattr(node, "text", "a list")
    if not isinstance(node, Quantity) or node.measures != measures:
        example = {
            "time": "10s",
            "rate": "25/s",
            "units": "40u",
            "part": "73%",
            "times": "7x",
            "number": "3",
        }[measures]
        raise error_at(node, f"{form.head}: expected a {measures} such as {example}, got {text!r}")
    if not minimum <= node.minimum <= node.maximum <= maximum:
        raise error_at(node, f"{form.head}: {text} is not within {minimum:g} to {maximum:g}")
    return node


def read_word(form: Form, index: int, known: list[str] | None = None) -> str:
    """The word at an index; `known` restricts it to these words."""
    if index >= len(form.items) or not isinstance(form.items[index], Word):
        raise error_at(
            form if index >= len(form.items) else form.items[index], f"{form.head}: expected a word"
        )
    node = form.items[index]
    assert isinstance(node, Word)
    if known is not None and node.text not in known:
        raise error_at(node, f"{form.head}: unknown {node.text!r}; {nearest(node.text, known)}")
    return node.text


def read_sections(form: Form, start: int, known: dict[str, Callable[[Form], None]]) -> None:
    """Call the handler of each section from index `start` on; `known` holds the handlers by section name."""
    for node in form.items[start:]:
        if not isinstance(node, Form):
            raise error_at(node, f"{form.head}: expected a list, got {node.text!r}")
        if node.head not in known:
            raise error_at(
                node.items[0] if node.items else node,
                f"{form.head}: unknown {node.head!r}; {nearest(node.head, list(known))}",
            )
        known[node.head](node)


def read_integer(form: Form, index: int = 1, minimum: int = 1, maximum: int = 1_000_000) -> int:
    """The integer at an index, within bounds."""
    return int(read_quantity(form, index, "number", minimum, maximum).minimum)


def require_cluster(node: Node, word: str, has_cluster: bool) -> None:
    """Raise TextError if a word that requires a cluster is used in a scenario without one."""
    if not has_cluster:
        raise error_at(node, f"{word}: only where the gateways are a fleet: (gateways N (fleet on))")


def read_gateways(form: Form, gateway_count: int, start: int = 0) -> tuple[int, ...]:
    """The gateway numbers in a list, from index `start` on."""
    numbers = []
    for node in form.items[start:]:
        if (
            not isinstance(node, Quantity)
            or node.measures != "number"
            or not 1 <= node.minimum <= gateway_count
        ):
            raise error_at(
                node, f"expected gateways from 1 to {gateway_count}, got {getattr(node, 'text', 'a list')!r}"
            )
        numbers.append(int(node.minimum))
    return tuple(numbers)
