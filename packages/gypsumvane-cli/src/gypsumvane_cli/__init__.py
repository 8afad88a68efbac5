"""The client of operators."""

from __future__ import annotations
