"""Results of a load run."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from hdrh.histogram import HdrHistogram

LATENCY_MAX_US = 120_000_000
QUANTILES = {"p50": 50.0, "p95": 95.0, "p99": 99.0, "p999": 99.9, "max": 100.0}
LOST_OUTCOME = "lost"


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds with 3 significant digits."""
    return HdrHistogram(1, LATENCY_MAX_US, 3)


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Record the last answer that a caller got for one idempotency key."""

    key: str
    outcome: str
    verdict: str


@dataclass(frozen=True, slots=True)
class Observation:
    """Describe the outcome of one request; latency is from its intended start."""

    intended_s: float
    latency_s: float
    # complete, partial, refused, failed, or lost without an answer.
    outcome: str
    verdict: str = ""
    reason: str = ""
    in_time: bool = True


@dataclass(slots=True)
class SecondCounts:
    """Count the requests that were due in one second of the run."""

    offered: int = 0
    complete_in_time: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class LoadResult:
    """Hold counts and latencies; latency counts from the intended start."""

    offered: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)
    # Services left out of partial answers, by reason.
    left_out: dict[str, int] = field(default_factory=dict)
    complete_in_time: int = 0
    late: int = 0
    foreign_answers: int = 0
    mixed_snapshots: int = 0
    untrue_coverage: int = 0
    # Answers whose hits differ from those that the oracle expects.
    wrong_hits: int = 0
    latency_ms: dict[str, float] = field(default_factory=dict)
    seconds: list[SecondCounts] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    # Largest delay between the intended and the actual start of a request.
    send_lag_max_ms: float = 0.0
    histogram: str = ""

    def record(self, observation: Observation) -> None:
        """Count one request."""
        self.offered += 1
        outcome = observation.outcome
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if observation.reason:
            label = f"{outcome}: {observation.reason}"
            self.reasons[label] = self.reasons.get(label, 0) + 1
        second = self._second(int(observation.intended_s))
        second.offered += 1
        second.outcomes[outcome] = second.outcomes.get(outcome, 0) + 1
        if not observation.in_time:
            self.late += 1
        elif outcome == "complete":
            self.complete_in_time += 1
            second.complete_in_time += 1

    def finish(self, histogram: HdrHistogram) -> None:
        """Store the latencies of complete and partial answers."""
        self.latency_ms = {
            name: histogram.get_value_at_percentile(percentile) / 1000
            for name, percentile in QUANTILES.items()
        }
        self.latency_ms["mean"] = round(histogram.get_mean_value() / 1000, 3)
        self.histogram = histogram.encode().decode()

    def complete_in_time_share(self) -> float:
        """Return the share of offered requests with a complete answer in time."""
        return self.complete_in_time / self.offered if self.offered else 0.0

    def summary(self) -> dict[str, Any]:
        """Return the values without the histogram, seconds and runs."""
        values = asdict(self)
        for key in ("histogram", "seconds", "runs"):
            del values[key]
        return values

    def _second(self, number: int) -> SecondCounts:
        while len(self.seconds) <= number:
            self.seconds.append(SecondCounts())
        return self.seconds[number]


def result_from_json(values: dict[str, Any]) -> LoadResult:
    """Return the result that another process printed."""
    values = dict(values)
    values["seconds"] = [SecondCounts(**entry) for entry in values["seconds"]]
    values["runs"] = [RunRecord(**entry) for entry in values["runs"]]
    return LoadResult(**values)


def merge_results(results: list[LoadResult]) -> LoadResult:
    """Merge the results of processes that ran at the same time."""
    merged = LoadResult()
    histogram = new_histogram()
    for result in results:
        add_counts(merged, result)
        histogram.decode_and_add(result.histogram.encode())
    merged.finish(histogram)
    return merged


def add_counts(total: LoadResult, part: LoadResult) -> None:
    """Add the counts of one result to another."""
    for name in (
        "offered",
        "complete_in_time",
        "late",
        "foreign_answers",
        "mixed_snapshots",
        "untrue_coverage",
        "wrong_hits",
    ):
        setattr(total, name, getattr(total, name) + getattr(part, name))
    add_counters(total.outcomes, part.outcomes)
    add_counters(total.reasons, part.reasons)
    add_counters(total.left_out, part.left_out)
    total.runs += part.runs
    total.send_lag_max_ms = max(total.send_lag_max_ms, part.send_lag_max_ms)
    for number, second in enumerate(part.seconds):
        sum_second = total._second(number)
        sum_second.offered += second.offered
        sum_second.complete_in_time += second.complete_in_time
        add_counters(sum_second.outcomes, second.outcomes)


def add_counters(total: dict[str, int], part: dict[str, int]) -> None:
    """Add counts by name."""
    for name, count in part.items():
        total[name] = total.get(name, 0) + count
