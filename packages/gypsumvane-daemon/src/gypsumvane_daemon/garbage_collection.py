"""Tuning of Python's cyclic garbage collector."""

from __future__ import annotations

import gc

# A query allocates hundreds of objects and creates no reference cycles. With
# the default thresholds (700, 10, 10), collections took about a third of the
# CPU time of a query.
GENERATION_0_THRESHOLD = 50_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 50


def tune_garbage_collector() -> None:
    """Run collections rarely and exempt all objects that exist now from them."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
