"""Base class of fake services and construction of kernels."""

from __future__ import annotations

from gypsumvane_core.clock import SystemClock
from gypsumvane_daemon.client_service import ClientService
from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.settings import ProcessSettings


class FakeService(Service):
    """Service whose start and stop do nothing."""

    async def start(self, kernel: Kernel) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def kernel_of(*services: Service) -> Kernel:
    """Return a kernel with the services registered in this order.

    The guard for clients follows the metrics that it needs.
    """
    kernel = Kernel()
    for service in services:
        kernel.register(service)
        if isinstance(service, MetricsService):
            kernel.register(ClientService(ProcessSettings(), SystemClock()))
    return kernel
