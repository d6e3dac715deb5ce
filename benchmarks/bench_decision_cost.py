"""Decisions per second on one core, by number of servers and teams."""

import time
from collections.abc import Iterator

from benchmarks._measurement import Measurement
from damaskrill.admission import OwnerDecider
from damaskrill.base import BaseDecider
from damaskrill.configuration import (
    BackendServerSpec,
    DataCentreSpec,
    FleetText,
    LimitSpec,
    ServiceSpec,
)
from damaskrill.kernel import FleetViewDecider, RouterKernel, load_plugins
from damaskrill.messages import (
    BackendEnded,
    DispatchAttempt,
    Member,
    MembersChanged,
    Message,
    OfferAttempt,
    PeerDelivered,
    Request,
    RouteRequest,
    TextAccepted,
    Tick,
)
from damaskrill.routing import EntryDecider

N_REQUESTS = 2_000
N_TICKS = 50
US_PER_S = 1_000_000
# Numbers of engines, services and members of each fleet.
SIZES = ((5, 1, 7), (300, 1, 60), (11_000, 37, 330))
N_TEAMS = (10, 1_000, 44_000)
REQUESTS_PER_S_PER_NODE = 24


def measure(seed: int) -> Iterator[Measurement]:
    """Time decisions of entry and owner for each size."""
    load_plugins()
    for n_engines, n_services, n_members in SIZES:
        kernel = _build_kernel(n_engines, n_services, n_members)
        size = {"n_engines": n_engines, "n_members": n_members}
        entry_us = _time_entry(kernel, n_services, 10)
        owner_us = _time_owner(kernel, 10)
        tick_us = _time_ticks(_build_kernel(n_engines, n_services, n_members))
        yield _build_measurement("entry_decision", entry_us, "us", seed, size)
        yield _build_measurement("owner_decision", owner_us, "us", seed, size)
        yield _build_measurement("tick", tick_us, "us", seed, size)
        per_s = US_PER_S / (entry_us + owner_us)
        yield _build_measurement(
            "requests_a_second_on_a_core", per_s, "1/s", seed, size
        )
        share = _core_share(entry_us + owner_us, tick_us)
        yield _build_measurement(
            "core_share_at_24_requests", share, "percent", seed, size
        )
    for n_teams in N_TEAMS:
        kernel = _build_kernel(300, 1, 60)
        size = {"n_teams": n_teams, "n_engines": 300}
        cost_us = _time_entry(kernel, 1, n_teams) + _time_owner(kernel, n_teams)
        yield _build_measurement("request", cost_us, "us", seed, size)


def _core_share(request_us: float, tick_us: float) -> float:
    busy_us = REQUESTS_PER_S_PER_NODE * request_us + 10 * tick_us
    return 100 * busy_us / US_PER_S


def _build_kernel(n_engines: int, n_services: int, n_members: int) -> RouterKernel:
    centres = [f"centre-{n}" for n in range(min(14, n_members))]
    members = tuple(
        Member(
            address=f"10.0.{n // 250}.{n % 250}:7000",
            data_centre=centres[n % len(centres)],
        )
        for n in range(n_members)
    )
    services = [f"service-{n}" for n in range(n_services)]
    servers = [
        BackendServerSpec(
            name=f"engine-{n}",
            service=services[n % n_services],
            address=f"10.{n // 60_000}.{n // 250 % 250}.{n % 250}:8000",
            data_centre=centres[n % len(centres)],
            cold_load=16,
        )
        for n in range(n_engines)
    ]
    text = FleetText(
        version=1,
        services={name: ServiceSpec(name=name) for name in services},
        backend_servers={each.name: each for each in servers},
        data_centres={name: DataCentreSpec(name=name) for name in centres},
        limits=LimitSpec(load_floor=16),
    )
    own = members[0]
    deciders: list[BaseDecider] = [
        FleetViewDecider(own=own),
        OwnerDecider(own=own),
        EntryDecider(own=own),
    ]
    kernel = RouterKernel(own=own, deciders=deciders)
    changed = MembersChanged(members=members, n_listed=n_members, n_reachable=n_members)
    kernel.decide(changed, 0)
    kernel.decide(TextAccepted(text=text), 0)
    return kernel


def _build_request(n: int, service: str, n_teams: int) -> Request:
    return Request(
        request_id=f"request-{n}",
        service=service,
        team=f"team-{n * 7 % n_teams}",
        chat=f"chat-{n}",
        n_prompt_tokens=1_000,
        deadline_ms=1_000_000,
    )


def _time_entry(kernel: RouterKernel, n_services: int, n_teams: int) -> float:
    inputs = [
        RouteRequest(request=_build_request(n, f"service-{n % n_services}", n_teams))
        for n in range(N_REQUESTS)
    ]
    sent: list[list[Message]] = []
    start = time.process_time()
    for message in inputs:
        sent.append(kernel.decide(message, 10))
    elapsed_s = time.process_time() - start
    for effects in sent:
        _end_local_attempts(kernel, effects)
    return elapsed_s * US_PER_S / N_REQUESTS


def _end_local_attempts(kernel: RouterKernel, effects: list[Message]) -> None:
    for effect in effects:
        if isinstance(effect, DispatchAttempt):
            ended = BackendEnded(attempt_id=effect.attempt_id, n_bytes=1, digest="a")
            kernel.decide(ended, 20)


def _time_owner(kernel: RouterKernel, n_teams: int) -> float:
    owner = next(each for each in kernel.deciders if isinstance(each, OwnerDecider))
    names = owner.owned_servers
    sender = Member(address="10.9.9.9:7000", data_centre="centre-0")
    service = {
        each.name: each.service
        for each in kernel.deciders[0].view.text.backend_servers.values()  # type: ignore[attr-defined]
    }
    offers = [
        OfferAttempt(
            attempt_id=f"offer-{n}",
            request=_build_request(n, service[names[n % len(names)]], n_teams),
            backend_server=names[n % len(names)],
            remaining_ms=60_000,
        )
        for n in range(N_REQUESTS)
    ]
    n_dispatched = 0
    start = time.process_time()
    for offer in offers:
        delivered = PeerDelivered(sender=sender, payload=offer)
        for effect in kernel.decide(delivered, 30_000):
            if isinstance(effect, DispatchAttempt):
                n_dispatched += 1
                ended = BackendEnded(
                    attempt_id=effect.attempt_id, n_bytes=1, digest="a"
                )
                kernel.decide(ended, 30_010)
    elapsed_s = time.process_time() - start
    assert n_dispatched == N_REQUESTS, n_dispatched
    return elapsed_s * US_PER_S / N_REQUESTS


def _time_ticks(kernel: RouterKernel) -> float:
    start = time.process_time()
    for n in range(N_TICKS):
        kernel.decide(Tick(), 40_000 + 100 * n)
    return (time.process_time() - start) * US_PER_S / N_TICKS


def _build_measurement(
    measure: str, value: float, unit: str, seed: int, parameters: dict[str, int]
) -> Measurement:
    return Measurement(
        measure=measure,
        policy="product",
        value=round(value, 2),
        unit=unit,
        seed=seed,
        parameters=dict(parameters),
    )
