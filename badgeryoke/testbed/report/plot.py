"""Plots as SVG text: lines over time with an axis, a legend and marks for events."""

from __future__ import annotations

import html
from collections.abc import Sequence
from dataclasses import dataclass

COLOURS = ("#1b6ca8", "#c1440e", "#3b7a57", "#7a4988", "#8a6d1d", "#444444")
WIDTH, HEIGHT = 860, 240
LEFT, RIGHT, TOP, BOTTOM = 52, 150, 14, 30


@dataclass(frozen=True, slots=True)
class Line:
    """A named series of (seconds, value)."""

    name: str
    points: Sequence[tuple[float, float]]
    dashed: bool = False


def _ticks(max_value: float) -> list[float]:
    step = 10.0 ** len(str(int(max_value))) / 10.0 if max_value >= 1 else 0.1
    while max_value / step < 4:
        step /= 2
    while max_value / step > 8:
        step *= 2
    return [step * index for index in range(int(max_value / step) + 1)]


def chart(
    lines: Sequence[Line],
    seconds: float,
    unit: str,
    shaded: tuple[float, float] | None = None,
    marks: Sequence[tuple[float, str]] = (),
) -> str:
    """Plot lines over `seconds`, with a shaded period and marks at times."""
    max_value = max((value for line in lines for _, value in line.points), default=1.0) * 1.08 or 1.0
    plot_width, plot_height = WIDTH - LEFT - RIGHT, HEIGHT - TOP - BOTTOM

    def x(at: float) -> float:
        return LEFT + plot_width * min(max(at / seconds, 0.0), 1.0)

    def y(value: float) -> float:
        return TOP + plot_height * (1 - value / max_value)

    out = [f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" xmlns="http://www.w3.org/2000/svg">']
    if shaded is not None:
        out.append(
            f'<rect x="{x(shaded[0]):.1f}" y="{TOP}" width="{x(shaded[1]) - x(shaded[0]):.1f}" '
            f'height="{plot_height}" fill="#f6e7df"/>'
        )
    out.extend(
        f'<line x1="{LEFT}" x2="{LEFT + plot_width}" y1="{y(tick):.1f}" y2="{y(tick):.1f}" '
        f'stroke="#ddd"/><text x="{LEFT - 6}" y="{y(tick) + 4:.1f}" text-anchor="end">'
        f"{tick:g}</text>"
        for tick in _ticks(max_value)
    )
    out.extend(
        f'<text x="{x(tick):.1f}" y="{HEIGHT - 10}" text-anchor="middle">{tick:g} s</text>'
        for tick in _ticks(seconds)
    )
    out.append(f'<text x="{LEFT}" y="{TOP - 3}" class="unit">{html.escape(unit)}</text>')
    for at, label in marks:
        out.append(
            f'<line x1="{x(at):.1f}" x2="{x(at):.1f}" y1="{TOP}" y2="{TOP + plot_height}" stroke="#999" '
            f'stroke-dasharray="2 3"><title>{html.escape(label)}</title></line>'
        )
    for index, line in enumerate(lines):
        colour = COLOURS[index % len(COLOURS)]
        path = " ".join(f"{x(at):.1f},{y(value):.1f}" for at, value in line.points)
        dash = ' stroke-dasharray="6 4"' if line.dashed else ""
        out.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.6"{dash}/>')
        row = TOP + 12 + 18 * index
        out.append(
            f'<line x1="{LEFT + plot_width + 10}" x2="{LEFT + plot_width + 34}" y1="{row - 4}" y2="{row - 4}" '
            f'stroke="{colour}" stroke-width="2"{dash}/>'
            f'<text x="{LEFT + plot_width + 40}" y="{row}">{html.escape(line.name)}</text>'
        )
    out.append("</svg>")
    return "".join(out)


def bands(rows: Sequence[tuple[str, Sequence[tuple[float, float, str]]]], seconds: float) -> str:
    """Plot rows of coloured periods (start, end, state): actual and detected states over time."""
    colours = {
        "sound": "#cfe3d4",
        "healed": "#dcebc8",
        "slow": "#f3e3a8",
        "dead": "#d98c7a",
        "split": "#b98ac4",
        "missing": "#e0bfe6",
        "absent": "#cfc3b0",
        "swapped": "#8fb8da",
        "unknown": "#eeeeee",
    }
    plot_width, step = WIDTH - LEFT - RIGHT, 24
    plot_height = step * len(rows) + 8
    out = [f'<svg viewBox="0 0 {WIDTH} {plot_height}" role="img" xmlns="http://www.w3.org/2000/svg">']
    for index, (name, periods) in enumerate(rows):
        top = 4 + index * step
        out.append(f'<text x="{LEFT - 6}" y="{top + 14}" text-anchor="end">{html.escape(name)}</text>')
        for begin, end, state in periods:
            at, width = LEFT + plot_width * begin / seconds, plot_width * max(end - begin, 0.0) / seconds
            out.append(
                f'<rect x="{at:.1f}" y="{top}" width="{width:.1f}" height="{step - 4}" '
                f'fill="{colours.get(state, "#bbbbbb")}"><title>{html.escape(state)}</title></rect>'
            )
            if width > 7 * len(state):
                out.append(f'<text x="{at + 4:.1f}" y="{top + 14}">{html.escape(state)}</text>')
    out.append("</svg>")
    return "".join(out)
