"""A caller's request that asks for admission."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.priority import Priority


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """Describe a whole query, lookup or run; parts are not admitted singly."""

    priority: Priority
    caller_id: str
    # Monotonic time of the passed clock.
    deadline_s: float
    index: str = ""
    # Filled by admission.
    arrived_s: float = 0.0
