"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

BUCKETS_S = (0.01, 0.02, 0.03, 0.05, 0.07, 0.1, 0.15, 0.2, 0.3, 0.6, 1.0, 2.0, 6.0)

Labels = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class _Histogram:
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    sum_s: float = 0.0


class RoutingMetrics:
    """Collect metrics and render them in the Prometheus text format.

    prometheus_client is imported on the first scrape only. The import takes 0.1 s and
    8 MB and would delay the start of a daemon, during which it cannot serve.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}

    def count(self, counter: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (counter, tuple(sorted(labels.items())))
        self._counts[key] = self._counts.get(key, 0) + amount

    def observe(self, histogram: str, value_s: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (histogram, tuple(sorted(labels.items())))
        entry = self._histograms.get(key)
        if entry is None:
            entry = self._histograms[key] = _Histogram()
        entry.counts[bisect_left(BUCKETS_S, value_s)] += 1
        entry.sum_s += value_s

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics to prometheus_client."""
        from prometheus_client.metrics_core import CounterMetricFamily
        from prometheus_client.metrics_core import HistogramMetricFamily

        for name in sorted({name for name, _ in self._counts}):
            rows = [(key[1], n) for key, n in self._counts.items() if key[0] == name]
            counter = CounterMetricFamily(
                f"gypsumvane_{name}",
                name,
                labels=_label_names([row[0] for row in rows]),
            )
            for labels, total in rows:
                counter.add_metric([value for _, value in labels], total)
            yield counter
        for name in sorted({name for name, _ in self._histograms}):
            entries = [(k[1], h) for k, h in self._histograms.items() if k[0] == name]
            family = HistogramMetricFamily(
                f"gypsumvane_{name}_seconds",
                name,
                labels=_label_names([entry[0] for entry in entries]),
            )
            for labels, histogram in entries:
                family.add_metric(
                    [value for _, value in labels],
                    _cumulative(histogram.counts),
                    histogram.sum_s,
                )
            yield family


def _label_names(rows: list[Labels]) -> list[str]:
    return [name for name, _ in rows[0]]


def _cumulative(counts: list[int]) -> list[tuple[str, float]]:
    limits = [*(str(limit) for limit in BUCKETS_S), "+Inf"]
    total = 0
    buckets: list[tuple[str, float]] = []
    for limit, count in zip(limits, counts, strict=True):
        total += count
        buckets.append((limit, total))
    return buckets
