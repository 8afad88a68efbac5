"""A caller's request as admission control sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.priority import Priority


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """Describe a whole query, lookup or run; its parts are not admitted separately."""

    priority: Priority
    caller_id: str
    # Monotonic time on the injected clock.
    deadline_s: float
    index: str = ""
    # Set by `RootAdmission.offer`.
    arrived_s: float = 0.0
