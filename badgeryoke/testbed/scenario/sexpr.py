"""Parsing of S-expressions with lark; every node stores its line and column for error messages."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

MAX_TEXT_CHARACTERS = 1024 * 1024
NUMBER = re.compile(r"(-?\d+(?:\.\d+)?)(u/s|ms|min|s|%|x|u|/s)?")
# For each unit: what it measures, and its factor to the testbed's units (ms, units a second, fractions).
UNITS = {
    "ms": ("time", 1.0),
    "s": ("time", 1000.0),
    "min": ("time", 60_000.0),
    "%": ("part", 0.01),
    "x": ("times", 1.0),
    "u": ("units", 1.0),
    "/s": ("rate", 1.0),
    "u/s": ("rate", 1.0),
    "": ("number", 1.0),
}


class TextError(Exception):
    """An invalid scenario text; the message states line, column and word."""

    def __init__(self, line: int, column: int, problem: str) -> None:
        super().__init__(f"line {line}, column {column}: {problem}")
        self.line, self.column, self.problem = line, column, problem


@dataclass(frozen=True, slots=True)
class Quantity:
    """A number or range with what it measures; `minimum` and `maximum` are equal for a single number."""

    minimum: float
    maximum: float
    measures: str
    text: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Word:
    """A bare word, or a string in quotes."""

    text: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Form:
    """A list in parentheses."""

    items: tuple[Form | Quantity | Word, ...]
    line: int
    column: int

    @property
    def head(self) -> str:
        """The first word; empty if the list does not begin with a word."""
        return self.items[0].text if self.items and isinstance(self.items[0], Word) else ""


Node = Form | Quantity | Word


@cache
def _parser() -> Lark:
    grammar = Path(__file__).with_name("sexpr.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True)


def read(text: str) -> Form:
    """Parse a text that holds a single list; raises TextError."""
    if len(text) > MAX_TEXT_CHARACTERS:
        raise TextError(1, 1, f"longer than {MAX_TEXT_CHARACTERS} characters")
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        if token is not None and token.type == "$END":
            line = text.rstrip().count("\n") + 1
            raise TextError(
                line,
                len(text.rstrip().rsplit("\n", 1)[-1]) + 1,
                "the text ends inside a list: a ) is missing",
            ) from None
        found = str(token) if token is not None else text[error.pos_in_stream or 0 :][:1]
        raise TextError(error.line, error.column, f"unexpected {found!r}") from None
    root = tree.children[0]
    assert isinstance(root, Tree)
    return _form(root)


def _form(tree: Tree[Token]) -> Form:
    items: list[Node] = []
    for child in tree.children:
        assert isinstance(child, Tree)
        items.append(_form(child) if child.data == "list" else _atom(child))
    return Form(tuple(items), tree.meta.line, tree.meta.column)


def _atom(tree: Tree[Token]) -> Quantity | Word:
    token = tree.children[0]
    assert isinstance(token, Token)
    line, column = token.line or 0, token.column or 0
    if token.type == "STRING":
        return Word(str(token)[1:-1], line, column)
    if token.type == "WORD":
        return Word(str(token), line, column)
    ends = [NUMBER.fullmatch(part) for part in str(token).split("..")]
    if not all(ends):
        raise TextError(line, column, f"{str(token)!r} is no quantity")
    last_unit = next((end.group(2) for end in reversed(ends) if end and end.group(2)), "") or ""
    values: list[float] = []
    measures = UNITS[last_unit][0]
    for end in ends:
        assert end is not None
        unit = end.group(2) or last_unit
        if UNITS[unit][0] != measures:
            raise TextError(line, column, f"{str(token)!r} mixes two kinds of unit")
        values.append(float(end.group(1)) * UNITS[unit][1])
    if values[-1] < values[0]:
        raise TextError(line, column, f"{str(token)!r} runs downwards")
    return Quantity(values[0], values[-1], measures, str(token), line, column)
