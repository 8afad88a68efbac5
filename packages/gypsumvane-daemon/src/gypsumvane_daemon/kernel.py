"""Microkernel that starts, looks up and stops services."""

from __future__ import annotations

import logging
from abc import ABC
from abc import abstractmethod
from typing import ClassVar
from typing import TypeVar

logger = logging.getLogger(__name__)


class Service(ABC):
    """Base of the services of a daemon."""

    name: ClassVar[str]

    @abstractmethod
    async def start(self, kernel: Kernel) -> None:
        """Acquire resources and start work."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop work and release resources."""


ServiceType = TypeVar("ServiceType", bound=Service)


class Kernel:
    """Registry of a daemon's services by name."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add a service; services start in the order of registration.

        Raises ValueError when the name is already registered.
        """
        if service.name in self._services:
            raise ValueError(f"service {service.name} is already registered")
        self._services[service.name] = service

    def get(self, service_class: type[ServiceType]) -> ServiceType:
        """Return the service registered under the name of the class.

        Raises LookupError when there is none of that class.
        """
        service = self._services.get(service_class.name)
        if not isinstance(service, service_class):
            raise LookupError(f"no service named {service_class.name}")
        return service

    def find(self, name: str) -> Service:
        """Return the service with this name, for use through a protocol.

        Raises LookupError when there is none.
        """
        service = self._services.get(name)
        if service is None:
            raise LookupError(f"no service named {name}")
        return service

    async def start(self) -> None:
        """Start all services; if one fails, stop the started ones and re-raise."""
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
