"""Logging as one JSON object per line."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from gypsumvane_daemon.settings import Settings


def json_formatter(vm_id: str) -> JsonFormatter:
    """Return the JSON formatter, which adds the VM identifier to each line."""
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        static_fields={"vm_id": vm_id},
    )


def configure_logging(settings: Settings) -> None:
    """Log JSON lines to standard error at the configured level."""
    handler = logging.StreamHandler()
    handler.setFormatter(json_formatter(settings.vm.vm_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.logging.level)
    logging.getLogger("transitions").setLevel(logging.ERROR)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
