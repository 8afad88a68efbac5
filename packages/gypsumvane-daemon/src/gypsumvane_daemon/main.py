"""Entry point of ``gypsumvaned``."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import sys
from pathlib import Path

import uvloop
from absl import app
from absl import flags

from gypsumvane_core.clock import SystemClock
from gypsumvane_daemon.admission_service import AdmissionService
from gypsumvane_daemon.booking_service import BookingService
from gypsumvane_daemon.caller_api import CallerApi
from gypsumvane_daemon.client_service import ClientService
from gypsumvane_daemon.document_service import DocumentService
from gypsumvane_daemon.garbage_collection import tune_garbage_collector
from gypsumvane_daemon.gateway_service import GatewayService
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.lifecycle_service import LifecycleService
from gypsumvane_daemon.log_setup import configure_logging
from gypsumvane_daemon.membership_service import MembershipService
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.move_service import MoveService
from gypsumvane_daemon.operator_api import OperatorApi
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.settings import Settings
from gypsumvane_daemon.settings import SettingsError
from gypsumvane_daemon.settings import load_settings
from gypsumvane_daemon.store_client import StoreClient
from gypsumvane_daemon.upstream_service import UpstreamService

EXIT_USAGE = 2

SETTINGS_FLAG = flags.DEFINE_string("settings", None, "TOML file with the settings")

logger = logging.getLogger(__name__)


def build_kernel(settings: Settings) -> Kernel:
    """Return a kernel with all services registered in their start order."""
    identity = DaemonIdentity(settings=settings)
    clock = SystemClock()
    rng = random.Random(identity.incarnation)
    kernel = Kernel()
    services: tuple[Service, ...] = (
        MetricsService(),
        ClientService(settings.process, clock),
        PeerNetwork(identity),
        StoreClient(identity, clock=clock, rng=rng),
        DocumentService(identity, clock=clock, rng=rng),
        MembershipService(identity, clock=clock, rng=rng),
        LifecycleService(identity, clock=clock),
        AdmissionService(clock),
        UpstreamService(identity, clock),
        MoveService(identity, clock=clock, rng=rng),
        BookingService(identity, clock=clock),
        GatewayService(identity, clock=clock, rng=rng),
        OperatorApi(identity, clock=clock),
        CallerApi(identity, clock=clock),
    )
    for service in services:
        kernel.register(service)
    return kernel


async def serve(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    kernel = build_kernel(settings)
    await kernel.start()
    tune_garbage_collector()
    try:
        await stop_requested.wait()
        await kernel.get(LifecycleService).leave()
    finally:
        await kernel.stop()
    logger.info("daemon stopped")


def main(argv: list[str]) -> int:
    """Load the settings, run the daemon and return the exit code."""
    if SETTINGS_FLAG.value is None or len(argv) > 1:
        print("usage: gypsumvaned --settings FILE.toml", file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = load_settings(Path(SETTINGS_FLAG.value))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    configure_logging(settings)
    uvloop.run(serve(settings))
    return 0


def run() -> None:
    """Parse the flags and run ``main``."""
    app.run(main)


if __name__ == "__main__":
    run()
