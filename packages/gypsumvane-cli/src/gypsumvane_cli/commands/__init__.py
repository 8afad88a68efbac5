"""Commands of the client, one class per module."""

from __future__ import annotations
