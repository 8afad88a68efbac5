"""Period in which changes that are read from the store were made."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChangePeriod:
    """Bound the age of changes, which may reach a daemon long after they were made."""

    # When the store last confirmed the state without the changes.
    begin_s: float = -math.inf
    # Whether entries of running leaves may have expired in an outage of the store.
    after_outage: bool = False
    # Whether the store has just come back from an older copy, which lacks what was
    # written last until its writers write it again.
    after_restore: bool = False
