"""Processor time and memory of a router's roles, by fleet size."""

import time
import tracemalloc
from collections.abc import Iterator, Sequence

from benchmarks._measurement import Measurement
from damaskrill.configuration import (
    BackendServerSpec,
    DataCentreSpec,
    FleetText,
    ServiceSpec,
)
from damaskrill.kernel import RouterKernel, build_kernel
from damaskrill.messages import (
    AttemptEnded,
    AttemptStarted,
    BackendEnded,
    BackendFirstToken,
    DispatchAttempt,
    LoadReported,
    Member,
    MembersChanged,
    Message,
    OfferAttempt,
    PeerDelivered,
    Request,
    RequestArrived,
    SendToPeer,
    TextAccepted,
    Tick,
)

SIZES = (300, 1_100, 11_000)
SERVERS_PER_ROUTER = 33
N_MODELS = 37
N_DATA_CENTRES = 14
N_REQUESTS = 1_500
N_TICKS = 200
TICK_MS = 100
DEADLINE_MS = 60_000
NS_PER_US = 1_000
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_000
# Members and text are passed as messages, so that only the measured roles run.
ROLE_DECIDERS = ("load_means", "actions", "owner", "entry")


def build_fleet(n_servers: int) -> tuple[FleetText, tuple[Member, ...]]:
    """Return a text with this many backend servers, and their routers."""
    n_routers = max(2, n_servers // SERVERS_PER_ROUTER)
    n_models = min(N_MODELS, max(1, n_servers // 100))
    services = {f"model-{n}": ServiceSpec(name=f"model-{n}") for n in range(n_models)}
    centres = {f"dc-{n}": DataCentreSpec(name=f"dc-{n}") for n in range(N_DATA_CENTRES)}
    servers = {}
    for n in range(n_servers):
        name = f"engine-{n}"
        servers[name] = BackendServerSpec(
            name=name,
            service=f"model-{n % n_models}",
            address=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000",
            data_centre=f"dc-{n % N_DATA_CENTRES}",
            cold_load=16,
        )
    members = tuple(
        Member(
            address=f"10.200.{n >> 8}.{n & 255}:7000",
            data_centre=f"dc-{n % N_DATA_CENTRES}",
            incarnation="a",
        )
        for n in range(n_routers)
    )
    text = FleetText(
        version=1, services=services, backend_servers=servers, data_centres=centres
    )
    return text, members


def start_kernel(text: FleetText, members: Sequence[Member], seed: int) -> RouterKernel:
    """Return a kernel that has accepted this text and these members."""
    kernel = build_kernel(
        own=members[0], random_state=seed, decider_names=ROLE_DECIDERS
    )
    n_members = len(members)
    kernel.decide(TextAccepted(text=text), 0)
    changed = MembersChanged(
        members=tuple(members), n_listed=n_members, n_reachable=n_members
    )
    kernel.decide(changed, 0)
    return kernel


def build_request(n: int, service: str) -> Request:
    """Return the n-th request."""
    return Request(
        request_id=f"request-{n}",
        service=service,
        team=f"team-{n % 997}",
        chat=f"chat-{n}",
        deadline_ms=DEADLINE_MS,
    )


def find_offer(effects: Sequence[Message]) -> tuple[Member, OfferAttempt] | None:
    """Return the first offer among effects and its receiver."""
    for effect in effects:
        if isinstance(effect, SendToPeer) and isinstance(effect.payload, OfferAttempt):
            peer = Member(address=effect.address, data_centre="", incarnation="a")
            return peer, effect.payload
    return None


def measure_entry(kernel: RouterKernel, text: FleetText) -> tuple[float, float]:
    """Measure processor time and memory of the entry.

    Returns
    -------
    tuple of float
        Microseconds per request from arrival to answer, and bytes per open request.
    """
    services = sorted(text.services)
    requests = [
        build_request(n, services[n % len(services)]) for n in range(2 * N_REQUESTS)
    ]
    start_ns = time.process_time_ns()
    n_measured = 0
    for request in requests[:N_REQUESTS]:
        offered = find_offer(kernel.decide(RequestArrived(request=request), 1))
        if offered is None:
            continue
        peer, offer = offered
        for payload in (
            AttemptStarted(attempt_id=offer.attempt_id),
            AttemptEnded(attempt_id=offer.attempt_id, n_bytes=1, digest="ab"),
        ):
            kernel.decide(PeerDelivered(sender=peer, payload=payload), 2)
        n_measured += 1
    duration_ns = time.process_time_ns() - start_ns
    tracemalloc.start()
    for request in requests[N_REQUESTS:]:
        kernel.decide(RequestArrived(request=request), 3)
    retained_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return duration_ns / NS_PER_US / n_measured, retained_bytes / N_REQUESTS


def find_owned_servers(
    kernel: RouterKernel, text: FleetText, members: Sequence[Member]
) -> list[str]:
    """Return the backend servers that the kernel owns, by sending an offer for each."""
    owned = []
    for n, server in enumerate(text.backend_servers.values()):
        report = LoadReported(
            backend_server=server.name, start_id="a", load=0, measured_at_ms=3
        )
        kernel.decide(report, 3)
        request = build_request(n, server.service)
        offer = OfferAttempt(
            attempt_id=f"probe-{n}",
            request=request,
            backend_server=server.name,
            remaining_ms=DEADLINE_MS,
        )
        effects = kernel.decide(PeerDelivered(sender=members[1], payload=offer), 4)
        if any(isinstance(each, DispatchAttempt) for each in effects):
            owned.append(server.name)
            ended = BackendEnded(attempt_id=f"probe-{n}", n_bytes=1, digest="ab")
            kernel.decide(ended, 5)
    return owned


def measure_owner(
    kernel: RouterKernel,
    text: FleetText,
    members: Sequence[Member],
    owned: Sequence[str],
) -> float:
    """Return the owner's processor time per attempt, in microseconds."""
    offers = []
    for n in range(N_REQUESTS):
        name = owned[n % len(owned)]
        service = text.backend_servers[name].service
        offer = OfferAttempt(
            attempt_id=f"attempt-{n}",
            request=build_request(n, service),
            backend_server=name,
            remaining_ms=DEADLINE_MS,
        )
        offers.append(PeerDelivered(sender=members[1], payload=offer))
    start_ns = time.process_time_ns()
    for n, offered in enumerate(offers):
        kernel.decide(offered, 6)
        kernel.decide(BackendFirstToken(attempt_id=f"attempt-{n}", latency_ms=50), 6)
        ended = BackendEnded(attempt_id=f"attempt-{n}", n_bytes=1, digest="ab")
        kernel.decide(ended, 7)
    return (time.process_time_ns() - start_ns) / NS_PER_US / N_REQUESTS


def measure_ticks(kernel: RouterKernel) -> float:
    """Return the processor time per tick, in microseconds."""
    start_ns = time.process_time_ns()
    for n in range(1, N_TICKS + 1):
        kernel.decide(Tick(), 7 + n * TICK_MS)
    return (time.process_time_ns() - start_ns) / NS_PER_US / N_TICKS


def measure(seed: int) -> Iterator[Measurement]:
    """Measure entry and owner for each fleet size."""
    # Warm up, so that imports and caches do not count as memory of the first size.
    start_kernel(*build_fleet(SIZES[0]), seed)
    for n_servers in SIZES:
        text, members = build_fleet(n_servers)
        parameters = {"n_servers": n_servers, "n_routers": len(members)}

        def build_measurement(
            measure_name: str,
            value: float,
            unit: str,
            parameters: dict[str, int] = parameters,
        ) -> Measurement:
            return Measurement(
                measure=measure_name,
                policy="product",
                value=round(value, 2),
                unit=unit,
                seed=seed,
                parameters=parameters,
            )

        tracemalloc.start()
        kernel = start_kernel(text, members, seed)
        view_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        yield build_measurement("view_memory", view_bytes / BYTES_PER_MB, "MB")
        entry_us, open_bytes = measure_entry(kernel, text)
        yield build_measurement("entry_time_per_request", entry_us, "us")
        yield build_measurement(
            "entry_memory_per_open_request", open_bytes / BYTES_PER_KB, "KB"
        )
        kernel = start_kernel(text, members, seed)
        owned = find_owned_servers(kernel, text, members)
        yield build_measurement("owned_servers", len(owned), "servers")
        owner_us = measure_owner(kernel, text, members, owned)
        yield build_measurement("owner_time_per_attempt", owner_us, "us")
        yield build_measurement("owner_time_per_tick", measure_ticks(kernel), "us")
