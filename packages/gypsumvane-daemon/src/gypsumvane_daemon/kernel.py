"""The micro-kernel that starts, finds and stops services."""

from __future__ import annotations

import logging
from abc import ABC
from abc import abstractmethod
from typing import ClassVar
from typing import TypeVar

logger = logging.getLogger(__name__)


class Service(ABC):
    """Run one part of the daemon."""

    name: ClassVar[str]

    @abstractmethod
    async def start(self, kernel: Kernel) -> None:
        """Acquire resources and begin work."""

    @abstractmethod
    async def stop(self) -> None:
        """End work and release resources."""


ServiceType = TypeVar("ServiceType", bound=Service)


class Kernel:
    """Hold the services of a daemon by name."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add a service; services start in the order of registration."""
        if service.name in self._services:
            raise ValueError(f"service {service.name} is already registered")
        self._services[service.name] = service

    def get(self, service_class: type[ServiceType]) -> ServiceType:
        """Return the service registered under the name of the class.

        Raises LookupError when there is none.
        """
        service = self._services.get(service_class.name)
        if not isinstance(service, service_class):
            raise LookupError(f"no service named {service_class.name}")
        return service

    def find(self, name: str) -> Service:
        """Return the service of this name, for use through a protocol.

        Raises LookupError when there is none.
        """
        service = self._services.get(name)
        if service is None:
            raise LookupError(f"no service named {name}")
        return service

    async def start(self) -> None:
        """Start all services; stop the started ones when one fails."""
        for service in self._services.values():
            try:
                await service.start(self)
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            service = self._started.pop()
            try:
                await service.stop()
            except Exception:
                logger.exception(
                    "service failed to stop; stopping the remaining services",
                    extra={"svc": service.name},
                )
