"""Requests to each router on a route that was just added and on one just removed."""

import asyncio
import time
from typing import Any

from attrs import field, frozen

from damaskrill.soak._callers import Exchange, send_request_once
from damaskrill.soak._checks import Violation
from damaskrill.soak._disruptions import RECONNECT_S, Disruptions
from damaskrill.soak._routers import RouterProcesses
from damaskrill.soak._servers import PLAIN

__all__ = [
    "APPLY_S",
    "ConfigurationProbes",
    "Probe",
    "build_probe_route",
    "check_probes",
]

# Time after which routers must have applied a configuration or a reload, in seconds.
APPLY_S = 2.0
# Time between two rounds of requests, in seconds.
INTERVAL_S = 0.5
# Answers of a router that does not know the route, or not the key.
UNKNOWN_STATUSES = (401, 403, 404)


def probe_prefix(version: int) -> str:
    """Return the prefix of the route that only one version has."""
    return f"/probe-{version}/"


def build_probe_route(version: int) -> dict[str, Any]:
    """Return the route of reads that only one version of the configuration has."""
    return {
        "name": f"r-probe-{version}",
        "host": "desk.example",
        "prefix": probe_prefix(version),
        "kind": "idempotent",
        "service": PLAIN,
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
    }


@frozen(kw_only=True)
class Probe:
    """A request on a route that only one version of the configuration has.

    Parameters
    ----------
    exchange : Exchange
        The request.
    version : int
        Version of the route.
    is_added : bool
        Whether the version was the newest one when the request was sent; otherwise a
        later one had been in force for long enough.
    written_at : float
        When the version that must be in force was written, on the monotonic clock.
    """

    exchange: Exchange
    version: int
    is_added: bool
    written_at: float


@frozen(kw_only=True)
class ConfigurationProbes:
    """Asks all routers again and again which version is in force.

    Parameters
    ----------
    routers : RouterProcesses
        The routers.
    exchanges : list of Exchange
        Record to which each request is added.
    key : str
        API key of the requests.
    name : str
        Prefix of the request IDs.
    """

    routers: RouterProcesses
    exchanges: list[Exchange]
    key: str
    name: str
    probes: list[Probe] = field(factory=list, init=False)
    _written: list[tuple[int, float]] = field(factory=list, init=False)

    def record_version(self, version: int) -> None:
        """Record that a version has been written."""
        self._written.append((version, time.monotonic()))

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            due = [
                index
                for index, (_, written_at) in enumerate(self._written)
                if time.monotonic() - written_at > APPLY_S
            ]
            if due:
                await self._ask_all(due[-1])

    async def _ask_all(self, index: int) -> None:
        version, written_at = self._written[index]
        wanted = []
        if index == len(self._written) - 1:
            wanted.append((version, True))
        if index:
            wanted.append((self._written[index - 1][0], False))
        addresses = enumerate(self.routers.addresses)
        probes = [
            (address, self._build(router, each, is_added, written_at))
            for router, address in addresses
            for each, is_added in wanted
        ]
        await asyncio.gather(
            *(
                send_request_once(address, each.exchange, "GET")
                for address, each in probes
            )
        )
        is_newest = len(self._written) == index + 1
        # A version that was written meanwhile may have removed the route.
        self.probes.extend(each for _, each in probes if is_newest or not each.is_added)

    def _build(
        self, router: int, version: int, is_added: bool, written_at: float
    ) -> Probe:
        exchange = Exchange(
            request_id=f"{self.name}-{len(self.exchanges)}",
            path=f"{probe_prefix(version)}1",
            key=self.key,
            router=router,
            is_probe=True,
        )
        self.exchanges.append(exchange)
        return Probe(
            exchange=exchange,
            version=version,
            is_added=is_added,
            written_at=written_at,
        )


def check_probes(
    probes: list[Probe], disruptions: Disruptions, n_runs: dict[str, int]
) -> list[Violation]:
    """Return the probes whose router had an older version in force.

    Parameters
    ----------
    probes : list of Probe
        The requests.
    disruptions : Disruptions
        Faults of the routers and of the store, which excuse them.
    n_runs : dict of str to int
        Runs of each request.
    """
    violations = []
    for probe in probes:
        exchange = probe.exchange
        since = probe.written_at - RECONNECT_S
        if disruptions.hit_router(exchange.router, since, exchange.ended_at):
            continue
        if disruptions.hit_store(since, probe.written_at + APPLY_S):
            continue
        if probe.is_added:
            is_stale = exchange.status in UNKNOWN_STATUSES
        else:
            is_stale = bool(n_runs.get(exchange.request_id))
        if is_stale:
            what = "added" if probe.is_added else "removed"
            late_s = exchange.sent_at - probe.written_at
            detail = (
                f"router {exchange.router} answered {exchange.status} on the route "
                f"that was {what} {late_s:.2f} s before ({exchange.path})"
            )
            violations.append(
                Violation(
                    promise="configuration",
                    request_id=exchange.request_id,
                    detail=detail,
                )
            )
    return violations
