"""Run test classes and test folders in parallel worker processes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
# A class that takes longer is taken to hang; its processes end with the worker.
CLASS_TIMEOUT_S = 600.0


@dataclass(frozen=True, slots=True)
class RunCounts:
    """Number of tests of a run and the identifiers of those that failed."""

    tests: int
    failed: list[str]
    skipped: int


def class_names(suite: unittest.TestSuite) -> list[str]:
    """Return the names of the test classes in a suite, in order."""
    names: dict[str, None] = {}
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            names.update(dict.fromkeys(class_names(entry)))
        else:
            names[f"{type(entry).__module__}.{type(entry).__qualname__}"] = None
    return list(names)


def run_names(names: list[str], *, workers: int = WORKERS) -> RunCounts:
    """Run each class or folder in its own process and add up the counts."""
    with ThreadPoolExecutor(workers) as pool:
        counts = list(pool.map(run_name, names))
    return RunCounts(
        tests=sum(entry.tests for entry in counts),
        failed=[name for entry in counts for name in entry.failed],
        skipped=sum(entry.skipped for entry in counts),
    )


def run_name(name: str) -> RunCounts:
    """Run one class or folder; a missing result counts as one failed test."""
    with tempfile.TemporaryDirectory(prefix="gypsumvane-run-") as directory:
        result_path = Path(directory) / "result.json"
        output, succeeded = run_worker(name, result_path)
        counts = read_result(name, result_path)
    if counts.failed or not succeeded:
        print(output, flush=True)
    print(f"{name}: {counts.tests} run, {len(counts.failed)} failed", flush=True)
    return counts


def run_worker(name: str, result_path: Path) -> tuple[str, bool]:
    """Run the worker process and return its output and whether it exited with 0."""
    command = [sys.executable, "-m", "tests.system_worker", name, str(result_path)]
    try:
        worker = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            timeout=CLASS_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        output = (error.output or b"").decode(errors="replace")
        return f"{output}\n{name} did not finish within {CLASS_TIMEOUT_S:g} s", False
    output = worker.stdout.decode(errors="replace")
    if worker.returncode != 0:
        output += f"\nthe worker of {name} exited with status {worker.returncode}"
    return output, worker.returncode == 0


def read_result(name: str, result_path: Path) -> RunCounts:
    """Return the counts that a worker wrote; no tests count as one failed test."""
    if not result_path.exists():
        return RunCounts(tests=1, failed=[f"{name} (no result)"], skipped=0)
    values = json.loads(result_path.read_text(encoding="utf-8"))
    if values["tests"] == 0 and not values["failed"]:
        return RunCounts(tests=1, failed=[f"{name} (no tests ran)"], skipped=0)
    return RunCounts(**values)
