"""Small SVG plots for the page of measurements."""

from __future__ import annotations

from html import escape

WIDTH = 640
HEIGHT = 220
LEFT = 48
RIGHT = 16
TOP = 28
BOTTOM = 34
COLOURS = ("#1f5fa8", "#c2571a", "#3b8b4a", "#7b4fa3", "#8a6d1d", "#555555")
BAR_HEIGHT = 16
BAR_LEFT = 200


def line_plot(title: str, series: dict[str, list[float]], *, unit: str = "s") -> str:
    """Plot one value for each second or run, one line for each series."""
    highest = max((max(values) for values in series.values()), default=0.0) or 1.0
    seconds = max(max(len(values) for values in series.values()) - 1, 1)

    def point(second: int, value: float) -> str:
        x = LEFT + (WIDTH - LEFT - RIGHT) * second / seconds
        return f"{x:.1f},{vertical(value / highest):.1f}"

    parts = [text(LEFT, 16, title)]
    for share in (0.0, 0.5, 1.0):
        y = vertical(share)
        right = WIDTH - RIGHT
        parts.append(
            f'<line x1="{LEFT}" y1="{y:.1f}" x2="{right}" y2="{y:.1f}" stroke="#ddd"/>'
        )
        parts.append(text(8, y + 4, f"{highest * share:.3g}"))
    for number, (label, values) in enumerate(series.items()):
        colour = COLOURS[number % len(COLOURS)]
        points = " ".join(point(second, value) for second, value in enumerate(values))
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}" '
            'stroke-width="1.5"/>'
        )
        x = LEFT + number * (WIDTH - LEFT - RIGHT) / len(series)
        parts.append(text(x, HEIGHT - 4, label, colour=colour))
    parts.append(text(LEFT, HEIGHT - 19, f"0 {unit}"))
    parts.append(text(WIDTH - RIGHT - 30, HEIGHT - 19, f"{seconds} {unit}"))
    return document(HEIGHT, parts)


def bar_plot(title: str, bars: dict[str, float]) -> str:
    """Plot one horizontal bar for each value."""
    highest = max(bars.values(), default=0.0) or 1.0
    parts = [text(8, 16, title)]
    y = TOP
    for label, value in bars.items():
        width = (WIDTH - BAR_LEFT - 70) * value / highest
        parts.append(text(8, y + 12, label))
        parts.append(
            f'<rect x="{BAR_LEFT}" y="{y}" width="{width:.1f}" '
            f'height="{BAR_HEIGHT - 4}" fill="{COLOURS[0]}"/>'
        )
        parts.append(text(BAR_LEFT + width + 6, y + 11, f"{value:.4g}"))
        y += BAR_HEIGHT
    return document(y + 8, parts)


def vertical(share: float) -> float:
    """Return the height of a share of the highest value."""
    return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * share


def text(x: float, y: float, content: str, *, colour: str = "#222") -> str:
    """Return a text element."""
    return f'<text x="{x:.1f}" y="{y:.1f}" fill="{colour}">{escape(content)}</text>'


def document(height: float, parts: list[str]) -> str:
    """Return the SVG document."""
    head = (
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {height:g}" '
        f'width="{WIDTH}" height="{height:g}" font-family="sans-serif" font-size="11">'
    )
    background = '<rect width="100%" height="100%" fill="white"/>'
    return "\n".join([head, background, *parts, "</svg>", ""])
