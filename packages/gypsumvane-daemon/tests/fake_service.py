"""Base class of fake services and construction of kernels."""

from __future__ import annotations

from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.kernel import Service


class FakeService(Service):
    """Service whose start and stop do nothing."""

    async def start(self, kernel: Kernel) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def kernel_of(*services: Service) -> Kernel:
    """Return a kernel with the services registered in this order."""
    kernel = Kernel()
    for service in services:
        kernel.register(service)
    return kernel
