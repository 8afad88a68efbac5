"""Bound of the bytes of large answers that a daemon holds at the same time."""

from __future__ import annotations

from dataclasses import dataclass

# Bytes of each answer that do not count, so that usual answers are always accepted.
UNCOUNTED_BYTES = 16_384
# Bytes of all answers in progress beyond these, at most this share of the memory. An
# answer may be copied once when it is complete.
ALLOWED_BYTES = 16 * 2**20
MEMORY_SHARE = 1 / 16


@dataclass(slots=True)
class ReceiveAllowance:
    """Divide memory among the answers in progress.

    Load: leaves send answers without end while tens of requests are in progress. Each
    answer stays below its own bound, but all of them together exceed the memory of
    the VM.
    """

    bytes_max: int = ALLOWED_BYTES
    taken_bytes: int = 0

    def fit_memory(self, memory_bytes: int) -> None:
        """Set the bound for a process with this memory."""
        self.bytes_max = min(ALLOWED_BYTES, int(memory_bytes * MEMORY_SHARE))

    def take(self, count: int) -> bool:
        """Take bytes and return whether that many were left."""
        if self.taken_bytes + count > self.bytes_max:
            return False
        self.taken_bytes += count
        return True

    def release(self, count: int) -> None:
        """Return bytes that were taken."""
        self.taken_bytes -= count


@dataclass(slots=True)
class AnswerSize:
    """Count the bytes of one answer against an allowance."""

    allowance: ReceiveAllowance
    _received: int = 0
    _taken: int = 0

    def add(self, count: int) -> bool:
        """Count received bytes and return whether the answer may go on."""
        self._received += count
        missing = self._received - UNCOUNTED_BYTES - self._taken
        if missing <= 0:
            return True
        if not self.allowance.take(missing):
            return False
        self._taken += missing
        return True

    def reset(self) -> None:
        """Release what the answer has taken."""
        self.allowance.release(self._taken)
        self._received = self._taken = 0
