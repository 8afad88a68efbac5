"""Queue of waiting requests with fairness between callers."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING

from gypsumvane_core.priority import Priority

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gypsumvane_core.admission_request import AdmissionRequest

# A caller's queue counts as overloaded once its oldest request has waited for this
# share of its time.
OVERLOAD_WAIT_SHARE = 0.25


def _remove_next(requests: deque[AdmissionRequest], now_s: float) -> AdmissionRequest:
    """Remove the oldest request, or the newest one in an overload.

    In a lasting overload the oldest requests begin with barely enough time left
    and many of them end late; the newest ones still have nearly all their time.
    Runs are always taken in order of arrival.
    """
    oldest = requests[0]
    allowed_s = oldest.deadline_s - oldest.arrived_s
    overloaded = now_s - oldest.arrived_s > OVERLOAD_WAIT_SHARE * allowed_s
    if overloaded and oldest.priority is not Priority.RUN:
        return requests.pop()
    return requests.popleft()


class CallerQueue:
    """Order requests by priority, round-robin between callers."""

    def __init__(self) -> None:
        # The callers of each priority in round-robin order, with their requests in
        # order of arrival.
        self._callers: dict[Priority, OrderedDict[str, deque[AdmissionRequest]]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[AdmissionRequest]:
        for callers in self._callers.values():
            for requests in callers.values():
                yield from requests

    def push(self, request: AdmissionRequest) -> None:
        """Append a request to the queue of its caller."""
        callers = self._callers[request.priority]
        callers.setdefault(request.caller_id, deque()).append(request)
        self._length += 1

    def pop(
        self, priorities: tuple[Priority, ...], now_s: float
    ) -> AdmissionRequest | None:
        """Remove the next request of these priorities."""
        for priority in priorities:
            callers = self._callers[priority]
            if callers:
                caller_id, requests = next(iter(callers.items()))
                request = _remove_next(requests, now_s)
                callers.move_to_end(caller_id)
                self._drop_empty(priority, caller_id)
                self._length -= 1
                return request
        return None

    def evict_for(self, new_request: AdmissionRequest) -> AdmissionRequest | None:
        """Evict a request in favour of a new one and return it.

        Evicts the newest request of the caller with the most waiting requests
        at the lowest priority present. None means that the new request itself
        is the one to evict.
        """
        for priority in reversed(Priority):
            if priority < new_request.priority:
                return None
            callers = self._callers[priority]
            if not callers:
                continue
            caller_id = max(callers, key=lambda name: len(callers[name]))
            own = len(callers.get(new_request.caller_id, ()))
            is_same = priority is new_request.priority
            if is_same and len(callers[caller_id]) <= own:
                return None
            request = callers[caller_id].pop()
            self._drop_empty(priority, caller_id)
            self._length -= 1
            return request
        return None

    def remove(self, request: AdmissionRequest) -> bool:
        """Remove a request and return whether it was waiting."""
        requests = self._callers[request.priority].get(request.caller_id)
        if requests is None or request not in requests:
            return False
        requests.remove(request)
        self._drop_empty(request.priority, request.caller_id)
        self._length -= 1
        return True

    def _drop_empty(self, priority: Priority, caller_id: str) -> None:
        if not self._callers[priority][caller_id]:
            del self._callers[priority][caller_id]
