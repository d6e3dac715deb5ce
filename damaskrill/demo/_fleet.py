"""Fleet of routers and fakes in one process, on ephemeral loopback ports."""

import asyncio
from typing import Any

from loguru import logger

from damaskrill.configuration import Settings
from damaskrill.fakes import (
    FakeConfigurationService,
    FakeEngine,
    FakeHostList,
    FakePlainService,
    HttpFakeEngine,
    HttpFakePlainService,
    HttpFakePlatform,
)
from damaskrill.messages import HostEntry
from damaskrill.runtime import RouterProcess
from damaskrill.utils import SystemClock

__all__ = ["LoopbackFleet"]

FLEET_KEY = "a key for loopback only"
CHAT_SERVICE = "dossier-review"
ACTION_SERVICE = "issuance"
READY_POLL_S = 0.05
READY_TIMEOUT_S = 20.0


class LoopbackFleet:
    """Small fleet with one engine service and one service for actions.

    Parameters
    ----------
    reactor : object
        Running Twisted reactor.
    n_routers : int, default=3
        Number of routers, assigned to the data centres in turn.
    n_engines : int, default=3
        Number of engines, assigned to the data centres in turn.
    data_centres : tuple of str, default=("bole",)
        Names of the data centres.
    token_interval_ms : int, default=5
        Interval between the tokens of an engine, in milliseconds.
    bearable_load : int, default=16
        Capacity of each engine in concurrent requests, also while it is cold.
    settings : dict, default=None
        Additional settings of the routers.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        n_routers: int = 3,
        n_engines: int = 3,
        data_centres: tuple[str, ...] = ("bole",),
        token_interval_ms: int = 5,
        bearable_load: int = 16,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = SystemClock()
        self._data_centres = data_centres
        self._n_routers = n_routers
        self._settings = settings or {}
        self.data_centres_out: set[str] = set()
        self.bearable_load = bearable_load
        self.routers: list[RouterProcess] = []
        self.engines = [
            HttpFakeEngine(
                engine=FakeEngine(
                    name=f"engine-{n + 1}",
                    random_state=n,
                    bearable_load=bearable_load,
                    cold_load=bearable_load,
                    token_interval_ms=token_interval_ms,
                ),
                clock=self._clock,
                reactor=reactor,
            )
            for n in range(n_engines)
        ]
        self.action_server = HttpFakePlainService(
            service=FakePlainService(name="issuance-1"), reactor=reactor
        )
        self.platform = HttpFakePlatform(
            configuration=FakeConfigurationService(),
            host_list=FakeHostList(lag_ms=0),
            clock=self._clock,
            reactor=reactor,
        )

    @property
    def ports(self) -> list[int]:
        """Ports of the routers' caller interfaces."""
        return [each.caller_port for each in self.routers]

    @property
    def text_version(self) -> int:
        """Highest version of the operators' text that was published."""
        return self.platform.configuration.latest_version

    def data_centre_of(self, n: int) -> str:
        """Return the data centre of the n-th router or engine, counted from 0."""
        return self._data_centres[n % len(self._data_centres)]

    async def start(self) -> None:
        """Start the fakes and the routers, and wait until all routers are ready."""
        for fake in (*self.engines, self.action_server, self.platform):
            fake.start()
        self.publish_text()
        for n in range(self._n_routers):
            router = self._build_router(n)
            with logger.contextualize(router=f"router-{n + 1}"):
                await router.start()
            self.routers.append(router)
        self.publish_hosts()
        await self.wait_until_ready()

    def publish_text(self) -> int:
        """Publish a text with the current attributes and return its version."""
        return self.platform.configuration.publish(self._build_text().encode())

    def publish_hosts(self) -> None:
        """Publish the running routers as the host list."""
        hosts = tuple(
            HostEntry(address=each.own.address, data_centre=each.own.data_centre)
            for each in self.routers
        )
        self.platform.host_list.set_hosts(hosts, self._clock.now_ms)

    async def wait_until_ready(self) -> None:
        """Wait until every router has the latest text and knows all other routers.

        Raises
        ------
        TimeoutError
            If the routers are not ready within ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(each) for each in self.routers):
                await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """Stop the routers and the fakes without a graceful stop."""
        for router in self.routers:
            await router.close()
        for fake in (*self.engines, self.action_server, self.platform):
            await fake.stop()

    def _is_ready(self, router: RouterProcess) -> bool:
        view = router.view
        if view is None or view.text.version < self.text_version:
            return False
        return router.readiness()[0] and len(view.members) >= len(self.routers)

    def _build_router(self, n: int) -> RouterProcess:
        settings = Settings(
            data_centre=self.data_centre_of(n),
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            fleet_key=FLEET_KEY,
            configuration_service_url=self.platform.text_url,
            host_list_url=self.platform.host_list_url,
            **self._settings,
        )
        return RouterProcess(
            settings=settings,
            reactor=self._reactor,
            clock=self._clock,
            random_state=n,
        )

    def _build_text(self) -> str:
        lines = [f"[service {CHAT_SERVICE}]", "kind = engine", ""]
        lines += [f"[service {ACTION_SERVICE}]", "kind = plain", "repeatable = no", ""]
        for name in self._data_centres:
            in_service = "no" if name in self.data_centres_out else "yes"
            lines += [f"[data_centre {name}]", f"in_service = {in_service}", ""]
        for n, fake in enumerate(self.engines):
            lines += [
                f"[backend_server {fake.engine.name}]",
                f"service = {CHAT_SERVICE}",
                f"address = {fake.address}",
                f"data_centre = {self.data_centre_of(n)}",
                f"bearable_load = {self.bearable_load}",
                f"cold_load = {self.bearable_load}",
                "",
            ]
        lines += [
            f"[backend_server {self.action_server.service.name}]",
            f"service = {ACTION_SERVICE}",
            f"address = {self.action_server.address}",
            f"data_centre = {self._data_centres[0]}",
            "",
        ]
        return "\n".join(lines)
