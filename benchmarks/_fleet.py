"""Fleet of kernels with control deciders only, in virtual time."""

import heapq
import time
from collections.abc import Callable
from itertools import count

from damaskrill.base import BaseDecider
from damaskrill.control import ControlClass
from damaskrill.kernel import RouterKernel, build_kernel
from damaskrill.messages import (
    HostEntry,
    HostListRead,
    Member,
    Message,
    OwnedLoad,
    PeerDelivered,
    ReadHostList,
    ReadLoad,
    ReadText,
    SendToPeer,
    TextRead,
    TextReadFailed,
    Tick,
)
from damaskrill.utils import check_random_state

__all__ = ["ControlFleet", "build_control_text", "build_fleet_members"]

CONTROL_DECIDERS = ("membership", "configuration", "load_means")
TICK_MS = 100
PEER_DELAY_MS = (1, 20)
READ_DELAY_MS = 5
N_SERVICES = 37
N_DATA_CENTRES = 14
N_REGIONS = 4
# Load of one of 330 routers in front of 11,000 backend servers: services of which it
# owns servers, and load reports that it reads.
N_OWNED_SERVICES = 22
LOAD_READS_PER_S = 5


def build_fleet_members(n_members: int) -> list[Member]:
    """Return routers spread evenly over at most ``N_DATA_CENTRES`` data centres.

    Each data centre has at least three routers, unless the fleet is smaller.
    """
    n_centres = max(1, min(N_DATA_CENTRES, n_members // 3))
    return [
        Member(
            address=f"10.{n // 250}.{n % 250}.1:7000",
            data_centre=f"centre-{n % n_centres}",
            incarnation=f"p{n}",
        )
        for n in range(n_members)
    ]


def build_control_text(n_servers: int, marker: int = 0) -> bytes:
    """Return a text with all services; ``marker`` selects the section that differs."""
    lines: list[str] = []
    for n in range(N_DATA_CENTRES):
        region = f"region-{n % N_REGIONS}"
        lines += [f"[data_centre centre-{n}]", f"region = {region}", ""]
    for n in range(N_SERVICES):
        lines += [f"[service service-{n:02}]", "kind = engine", ""]
    for n in range(n_servers):
        load = 8 + marker % 64 if n == marker % n_servers else 8
        lines += [
            f"[backend_server server-{n}]",
            f"service = service-{n % N_SERVICES:02}",
            f"address = 10.{100 + n // 62_500}.{n // 250 % 250}.{n % 250 + 1}:8000",
            f"data_centre = centre-{n % N_DATA_CENTRES}",
            f"bearable_load = {load}",
            "",
        ]
    return "\n".join(lines).encode()


class _OwnerStub(BaseDecider):
    """Stub of an owner: emits load sums and reads load reports."""

    handles = (Tick,)

    def __init__(self, *, n: int, random_state: int) -> None:
        self._n = n
        self._random = check_random_state(random_state)
        self._next_ms = 0
        self._next_read_ms = 0

    def decide(self, message: Message, now_ms: int) -> list[Message]:
        results: list[Message] = []
        if now_ms >= self._next_read_ms:
            self._next_read_ms = now_ms + 1_000 // LOAD_READS_PER_S
            results.append(ReadLoad(backend_server="server", address="10.0.0.1:1"))
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + 1_000
            for n in range(N_OWNED_SERVICES):
                service = f"service-{(self._n + n) % N_SERVICES:02}"
                load = self._random.randrange(16)
                results.append(OwnedLoad(service=service, load_sum=load, n_servers=2))
        return results


class ControlFleet:
    """Fleet that handles control traffic only.

    Parameters
    ----------
    n_members : int
        Number of routers.
    n_servers : int
        Number of backend servers in the text.
    random_state : int
        Seed.
    """

    def __init__(self, *, n_members: int, n_servers: int, random_state: int) -> None:
        self._random = check_random_state(random_state)
        self._n_servers = n_servers
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self.now_ms = 0
        self.decide_time_s = 0.0
        self.n_calls = 0
        self.version = 0
        self._content = b""
        self._watches: dict[str, int] = {}
        members = build_fleet_members(n_members)
        hosts = tuple(
            HostEntry(address=each.address, data_centre=each.data_centre)
            for each in members
        )
        self._host_list = HostListRead(hosts=hosts)
        self.kernels: dict[str, RouterKernel] = {}
        self._members = {each.address: each for each in members}
        for n, member in enumerate(members):
            self.kernels[member.address] = self._build_kernel(member, n)
        self.publish()
        for address in self.kernels:
            self._at(self._random.randrange(TICK_MS), self._build_tick(address))
            self._at(0, self._build_delivery(address, self._host_list))

    def _build_kernel(self, member: Member, n: int) -> RouterKernel:
        seed = self._random.getrandbits(32)
        built = build_kernel(
            own=member, random_state=seed, decider_names=CONTROL_DECIDERS
        )
        loads = _OwnerStub(n=n, random_state=seed)
        return RouterKernel(own=member, deciders=[*built.deciders, loads])

    def publish(self) -> None:
        """Publish a text with one changed section."""
        self.version += 1
        self._content = build_control_text(self._n_servers, self.version)
        for address in list(self._watches):
            del self._watches[address]
            text = TextRead(version=self.version, content=self._content)
            self._after(READ_DELAY_MS, self._build_delivery(address, text))

    def run_until(self, end_ms: int) -> None:
        """Advance the virtual clock and run all events that are due."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def active_versions(self) -> list[int]:
        """Return the active text version of each router."""
        return [
            kernel.deciders[0].view.text.version  # type: ignore[attr-defined]
            for kernel in self.kernels.values()
        ]

    def n_bytes(self) -> dict[ControlClass, int]:
        """Return control bytes sent and received by all routers, by class."""
        totals = dict.fromkeys(ControlClass, 0)
        for kernel in self.kernels.values():
            budget = kernel.control_budget
            for each in ControlClass:
                totals[each] += budget.n_bytes_sent(each)
                totals[each] += budget.n_bytes_received(each)
        return totals

    def n_bytes_by_router(self) -> list[int]:
        """Return control bytes sent and received by each router."""
        return [
            sum(
                kernel.control_budget.n_bytes_sent(each)
                + kernel.control_budget.n_bytes_received(each)
                for each in ControlClass
            )
            for kernel in self.kernels.values()
        ]

    def n_dropped(self) -> int:
        """Return the number of messages dropped by control budgets."""
        return sum(
            kernel.control_budget.n_dropped(each)
            for kernel in self.kernels.values()
            for each in ControlClass
        )

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._event_numbers), action))

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._at(self.now_ms + delay_ms, action)

    def _build_tick(self, address: str) -> Callable[[], None]:
        def tick() -> None:
            self._deliver(address, Tick())
            self._after(TICK_MS, tick)

        return tick

    def _build_delivery(self, address: str, message: Message) -> Callable[[], None]:
        return lambda: self._deliver(address, message)

    def _deliver(self, address: str, message: Message) -> None:
        start_s = time.process_time()
        effects = self.kernels[address].decide(message, self.now_ms)
        self.decide_time_s += time.process_time() - start_s
        for effect in effects:
            match effect:
                case SendToPeer(address=target, payload=payload):
                    delivered = PeerDelivered(
                        sender=self._members[address], payload=payload
                    )
                    delay_ms = self._random.randint(*PEER_DELAY_MS)
                    self._after(delay_ms, self._build_delivery(target, delivered))
                case ReadHostList():
                    self._after(
                        READ_DELAY_MS, self._build_delivery(address, self._host_list)
                    )
                case ReadText():
                    self._read_text(address, effect)

    def _read_text(self, address: str, read: ReadText) -> None:
        self.n_calls += 1
        answer: Message = TextReadFailed(reason="nothing new")
        if self.version > read.after_version:
            answer = TextRead(version=self.version, content=self._content)
        elif read.wait_ms:
            started_ms = self.now_ms
            self._watches[address] = started_ms
            self._after(read.wait_ms, lambda: self._end_watch(address, started_ms))
            return
        self._after(READ_DELAY_MS, self._build_delivery(address, answer))

    def _end_watch(self, address: str, started_ms: int) -> None:
        if self._watches.get(address) == started_ms:
            del self._watches[address]
            self._deliver(address, TextReadFailed(reason="nothing new"))
