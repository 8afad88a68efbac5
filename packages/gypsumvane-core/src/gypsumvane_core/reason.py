"""Reasons for refusals, failures, retries and left-out services."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Name why a request or a part of it was refused, retried or not answered."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_INDEX = "unknown_index"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    QUEUE_FULL = "queue_full"
    CALLER_LIMIT = "caller_limit"
    DEADLINE = "deadline"
    NO_HOME = "no_home"
    NOT_HOME = "not_home"
    PEER_UNAVAILABLE = "peer_unavailable"
    PEER_LOST = "peer_lost"
    DOMAIN_OUT = "domain_out"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_UNAVAILABLE = "upstream_unavailable"
    UPSTREAM_COLD = "upstream_cold"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_ERROR = "upstream_error"
    CONNECTION_LOST = "connection_lost"
    SNAPSHOT_GONE = "snapshot_gone"
    SNAPSHOT_MISMATCH = "snapshot_mismatch"
    ANSWER_MISMATCH = "answer_mismatch"
    ANSWER_TOO_LARGE = "answer_too_large"
    NO_SNAPSHOT = "no_snapshot"
    CANCELLED = "cancelled"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_UNRESOLVED = "key_unresolved"
    CLAIMS_FULL = "claims_full"
    RESULT_NOT_KEPT = "result_not_kept"
    CONFLICT = "conflict"
    INTERNAL_ERROR = "internal_error"
