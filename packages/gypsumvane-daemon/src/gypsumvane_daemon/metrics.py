"""Metrics of the daemon, exported by OpenTelemetry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from gypsumvane_daemon.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from opentelemetry.metrics import Histogram

    from gypsumvane_daemon.kernel import Kernel

CONTENT_TYPE = CONTENT_TYPE_LATEST


class MetricsService(Service):
    """Create instruments and render them for the operator listener."""

    name = "metrics"

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider(metric_readers=[reader])
        self._meter = self._provider.get_meter("gypsumvane")
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._counter_names: set[str] = set()

    async def start(self, kernel: Kernel) -> None:
        """Do nothing, because instruments are created on first use."""

    async def stop(self) -> None:
        """Shut the meter provider down."""
        self._provider.shutdown()

    def count(self, counter: str, amount: int = 1, **attributes: str) -> None:
        """Add to a counter, which is created on first use.

        Counts are kept here and observed on each scrape, because adding to a
        synchronous instrument costs several microseconds per call.
        """
        if counter not in self._counter_names:
            self._register(counter)
        key = (counter, tuple(sorted(attributes.items())))
        self._counts[key] = self._counts.get(key, 0) + amount

    def value(self, counter: str, **attributes: str) -> int:
        """Return the value of a counter for exactly these attributes."""
        return self._counts.get((counter, tuple(sorted(attributes.items()))), 0)

    def gauge(self, name: str, read: Callable[[], float], unit: str = "") -> None:
        """Register a gauge whose value is read on each scrape."""
        from opentelemetry.metrics import Observation

        self._meter.create_observable_gauge(
            name, callbacks=[lambda _: [Observation(read())]], unit=unit
        )

    def histogram(self, name: str, unit: str) -> Histogram:
        """Return a new histogram."""
        return self._meter.create_histogram(name, unit=unit)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _register(self, counter: str) -> None:
        from opentelemetry.metrics import Observation

        self._counter_names.add(counter)
        self._meter.create_observable_counter(
            counter,
            callbacks=[
                lambda _: [
                    Observation(total, dict(attributes))
                    for (name, attributes), total in self._counts.items()
                    if name == counter
                ]
            ],
        )
