"""Rules that inject faults into proxied connections."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

if TYPE_CHECKING:
    from collections.abc import Iterable

UNLIMITED = -1


class RuleKind(StrEnum):
    """Name the faults."""

    DELAY = "delay"
    CUT_BEFORE = "cut_before"
    CUT_AFTER = "cut_after"
    LOSE_ANSWER = "lose_answer"
    HOLD_ANSWERS = "hold_answers"
    # Delivers an answer twice, the second time after `delay_ms`.
    REPEAT = "repeat"
    # Exchanges an answer with the next one on the same connection.
    SWAP = "swap"
    # Delivers the link's previous answer, of any connection, instead.
    FOREIGN = "foreign"
    HALF_OPEN = "half_open"
    SLOW_BYTES = "slow_bytes"
    REFUSE = "refuse"


class Rule(BaseModel):
    """Describe one fault and the traffic to which it applies."""

    model_config = ConfigDict(extra="forbid", validate_assignment=True)

    kind: RuleKind
    # Requests or connections to which the fault still applies; -1 is unlimited.
    count: int = Field(default=UNLIMITED, ge=UNLIMITED)
    # Only traffic that contains this text.
    match: str = ""
    # Only connections whose first request contains this text, for example the
    # name of the VM that opened a peer connection.
    first_match: str = ""
    # Only this connection; 0 means all.
    connection: int = 0
    delay_ms: float = Field(default=0.0, ge=0)
    bytes_per_s: float = Field(default=1000.0, gt=0)

    def use(self) -> bool:
        """Use the rule once; return False when no use is left."""
        if self.count == 0:
            return False
        if self.count > 0:
            self.count -= 1
        return True

    def matches(self, connection: int, first_request: bytes, data: bytes) -> bool:
        """Return whether the rule applies to these bytes."""
        if self.count == 0 or self.connection not in (0, connection):
            return False
        if self.first_match.encode() not in first_request:
            return False
        return self.match.encode() in data


class RuleTable:
    """Keep the rules of a link by number."""

    def __init__(self) -> None:
        self.rules: dict[int, Rule] = {}
        self._next = 1

    def add(self, rule: Rule) -> int:
        """Add a rule and return its number."""
        number = self._next
        self._next += 1
        self.rules[number] = rule
        return number

    def remove(self, number: int) -> None:
        """Remove a rule; unknown numbers are ignored."""
        self.rules.pop(number, None)

    def use_first(
        self,
        kinds: Iterable[RuleKind],
        *,
        connection: int = 0,
        first_request: bytes = b"",
        data: bytes = b"",
    ) -> Rule | None:
        """Use and return the first rule of these kinds that applies."""
        for rule in self.rules.values():
            applies = rule.matches(connection, first_request, data)
            if rule.kind in kinds and applies and rule.use():
                return rule
        return None
