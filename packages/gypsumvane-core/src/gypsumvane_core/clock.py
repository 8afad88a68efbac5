"""Clocks that are injected into decision logic."""

from __future__ import annotations

import time
from abc import ABC
from abc import abstractmethod


class Clock(ABC):
    """Provide the monotonic and the wall-clock time in seconds."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return a time that never goes back."""

    @abstractmethod
    def unix_s(self) -> float:
        """Return the wall-clock time."""


# CLOCK_MONOTONIC stops while a VM is suspended. A resumed home would take its old
# confirmation as valid and send to leaves at the same time as its successor.
_MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return a time that never goes back."""
        return time.clock_gettime(_MONOTONIC_CLOCK)

    def unix_s(self) -> float:
        """Return the wall-clock time."""
        return time.time()


class ManualClock(Clock):
    """Provide a time that changes only by `advance`."""

    def __init__(self, *, now_s: float = 1000.0, unix_s: float = 1.7e9) -> None:
        self._now_s = now_s
        self._unix_s = unix_s

    def monotonic_s(self) -> float:
        """Return a time that never goes back."""
        return self._now_s

    def unix_s(self) -> float:
        """Return the wall-clock time."""
        return self._unix_s

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self._now_s += seconds
        self._unix_s += seconds
