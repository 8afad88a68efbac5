"""Checks of answers against the guarantees given to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from gypsumvane_devtools.load_result import LoadResult


def check_answer(values: dict[str, Any], request_id: str, result: LoadResult) -> None:
    """Count an answer to another request, mixed snapshots and wrong coverage."""
    if values.get("request_id") != request_id:
        result.foreign_answers += 1
    if "coverage" in values:
        check_search(values, result)


def check_search(values: dict[str, Any], result: LoadResult) -> None:
    """Check the snapshot of each hit and the counts of the coverage."""
    snapshots = {hit["snapshot"] for hit in values["hits"]}
    if not snapshots <= {values["snapshot"]}:
        result.mixed_snapshots += 1
    for entry in values["coverage"]["left_out"]:
        reason = entry["reason"]
        result.left_out[reason] = result.left_out.get(reason, 0) + 1
    if not is_consistent(values):
        result.untrue_coverage += 1


def is_consistent(values: dict[str, Any]) -> bool:
    """Return whether coverage adds up and agrees with the outcome."""
    coverage = values["coverage"]
    left_out = len(coverage["left_out"])
    if coverage["asked"] != coverage["answered"] + left_out:
        return False
    return (values["outcome"] == "complete") == (left_out == 0)
