"""What a request states when it asks for admission."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Ask to be run; the deadline is on the passed clock."""

    # "run", "lookup" or "search".
    route: str
    index: str
    caller_id: str
    deadline_s: float
