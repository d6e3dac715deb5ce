"""Ways in which routers place requests at servers with few slots."""

import itertools
import math
from random import Random

from benchmarks._slot_fleet import Call, Router, SlotFleet, SlotServer
from damaskrill.catalog import BackendServer
from damaskrill.scheduling import (
    ReleaseOutcome,
    SlotAssignment,
    SlotDecision,
    SlotQueued,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotScheduler,
)
from damaskrill.steering import (
    FULL_RETRY_DELAY_MS,
    Candidate,
    ServerLoad,
    ServerLoads,
    ServerSelector,
    may_retry_full,
)

__all__ = [
    "CutRouter",
    "LeastLoadedRouter",
    "OracleRouter",
    "ScheduledRouter",
    "Scheduler",
    "TodayRouter",
    "TwoChoicesRouter",
    "build_mixed",
    "build_scheduled",
    "build_split",
]

# Servers that a request may reach, as most routes of the users' deployments allow.
MAX_SERVERS = 2
# Delay that today's refusals by full servers state.
TODAY_RETRY_MS = 300.0
# Part of its target after which a request is asked for again if its scheduler is gone.
ASK_FRACTION = 1 / 8
OUTCOMES = {
    "served": ReleaseOutcome.COMPLETED,
    "rejected": ReleaseOutcome.REJECTED,
    "unreachable": ReleaseOutcome.BROKEN,
}


class TodayRouter(Router):
    """Selects by its own counts and the loads it knows, and tries again when full."""

    def __init__(self, fleet: SlotFleet, number: int) -> None:
        super().__init__(fleet, number)
        self.loads = ServerLoads()
        self.selector = ServerSelector(
            loads=self.loads,
            own_data_centre="",
            random_state=Random(number),
        )
        self.backends = [
            BackendServer(
                server_id=str(n),
                started_at_ms=1,
                service="s",
                address=("10.0.0.1", 1 + n),
                n_slots=fleet.load.n_slots,
            )
            for n in range(fleet.load.n_servers)
        ]

    def serve(self, call: Call) -> None:
        self.try_servers(call, tried=set(), sent_to=set())

    def try_servers(self, call: Call, tried: set[int], sent_to: set[int]) -> None:
        """Send to the next server; wait and begin again if all were full."""
        fleet = self.fleet
        allowed = range(len(self.backends)) if len(sent_to) < MAX_SERVERS else sent_to
        open_servers = [n for n in allowed if n not in tried and self.is_up(n)]
        if not open_servers:
            if may_retry_full(
                elapsed_ms=fleet.now_ms - call.attempt_at_ms,
                target_ms=fleet.load.target_ms,
                remaining_ms=call.limit_at_ms - fleet.now_ms,
            ):
                fleet.after(
                    FULL_RETRY_DELAY_MS, lambda: self.try_servers(call, set(), sent_to)
                )
            else:
                fleet.refuse(call, TODAY_RETRY_MS)
            return
        if sent_to and not fleet.take_retry():
            fleet.refuse(call, TODAY_RETRY_MS)
            return
        n = self.select(open_servers)
        key = self.backends[n].key
        self.loads.start(key)
        sent_to.add(n)

        def handle(outcome: str, load: ServerLoad) -> None:
            self.loads.end(key)
            self.loads.observe_load(key, load.n_requests, fleet.now_ms)
            if outcome == "served":
                fleet.complete(call)
            else:
                self.try_servers(call, tried | {n}, sent_to)

        self.send(call, fleet.servers[n], handle)

    def is_up(self, n: int) -> bool:
        """Return whether a server can be reached, as health tells soon."""
        return not self.fleet.servers[n].is_gone

    def learn(self) -> None:
        """Apply what other routers have told."""
        at_ms = self.fleet.now_ms - self.news_age_ms
        for server, backend in zip(self.fleet.servers, self.backends):
            told = server.told_load(at_ms)
            if told is not None:
                self.loads.observe_load(backend.key, told[1].n_requests, told[0])

    def select(self, open_servers: list[int]) -> int:
        """Select a server."""
        self.learn()
        candidates = [Candidate(server=self.backends[n]) for n in open_servers]
        server = self.selector.select(
            candidates, affinity_keys=(), now_ms=self.fleet.now_ms
        )
        assert server is not None
        return int(server.server_id)

    def estimate(self, n: int) -> float:
        """Estimate the number of requests at a server."""
        return self.loads.estimate(self.backends[n].key, self.fleet.now_ms)


class LeastLoadedRouter(TodayRouter):
    """Selects the server with the fewest requests that it knows of."""

    def select(self, open_servers: list[int]) -> int:
        self.learn()
        return min(
            open_servers, key=lambda n: (self.estimate(n), self.fleet.random.random())
        )


class TwoChoicesRouter(LeastLoadedRouter):
    """Selects the less loaded of two random servers."""

    def select(self, open_servers: list[int]) -> int:
        n_drawn = min(2, len(open_servers))
        return super().select(self.fleet.random.sample(open_servers, n_drawn))


class CutRouter(TodayRouter):
    """Admits ranks above a cut that follows from the loads that servers report.

    Notes
    -----
    The published way of DAGOR: every 250 ms the cut admits 5 in 100 less if servers
    are full, else 1 in 100 more. The rank is the priority, then a hash of the team.
    """

    N_LEVELS = 128
    N_PRIORITIES = 3
    INTERVAL_MS = 250.0

    def __init__(self, fleet: SlotFleet, number: int) -> None:
        super().__init__(fleet, number)
        self.fraction = 1.0
        self.counts = [1.0] * (self.N_LEVELS * self.N_PRIORITIES)
        fleet.after(fleet.random.uniform(0, self.INTERVAL_MS), self.adjust)

    def adjust(self) -> None:
        """Move the cut."""
        self.learn()
        slots = self.fleet.load.n_slots * len(self.backends)
        is_full = sum(map(self.estimate, range(len(self.backends)))) >= slots
        self.fraction = min(1.0, max(0.05, self.fraction * (0.95 if is_full else 1.01)))
        self.counts = [0.9 * each for each in self.counts]
        if self.fleet.now_ms < self.fleet.load.duration_ms:
            self.fleet.after(self.INTERVAL_MS, self.adjust)

    def serve(self, call: Call) -> None:
        bucket = Random(f"{call.team}.{int(self.fleet.now_ms / 1_000)}").randrange(
            self.N_LEVELS
        )
        rank = call.priority * self.N_LEVELS + bucket
        self.counts[rank] += 1
        if sum(self.counts[:rank]) > self.fraction * sum(self.counts):
            self.fleet.refuse(call, TODAY_RETRY_MS)
        else:
            super().serve(call)


class OracleRouter(Router):
    """Knows what runs where, until when and how fast, without any delay.

    Notes
    -----
    Its requests and answers cross links as those of the others do. Servers queue any
    number of its requests.
    """

    def __init__(self, fleet: SlotFleet, number: int) -> None:
        super().__init__(fleet, number)
        for each in fleet.servers:
            each.n_queue = math.inf

    def serve(self, call: Call) -> None:
        server = min(self.fleet.servers, key=lambda each: self.end_ms(each, call))
        self.send(call, server, lambda outcome, load: self.fleet.complete(call))

    def end_ms(self, server: SlotServer, call: Call) -> float:
        """Return when a server would have done a request at its present speed."""
        now_ms = self.fleet.now_ms
        slowness = server.slowness(now_ms)
        free = sorted(server.ends_ms)
        free = [now_ms] * (self.fleet.load.n_slots - len(free)) + free
        for queued, _ in server.queue:
            free.append(free.pop(0) + slowness * queued.work_ms)
            free.sort()
        return free[0] + slowness * call.work_ms


class Scheduler:
    """The scheduling router: decision code behind links."""

    def __init__(self, fleet: SlotFleet) -> None:
        self.fleet = fleet
        self.core = SlotScheduler(service="s", started_at_ms=0.0)
        self.known: dict[int, int] = {}
        self.due_ms = math.inf
        self.waiting: dict[tuple[str, int], ScheduledRouter] = {}
        fleet.at(fleet.load.restart_ms, self.restart)

    def restart(self) -> None:
        """Let another router take over, which knows nothing of what was assigned."""
        self.core = SlotScheduler(
            service="s", started_at_ms=self.fleet.now_ms, is_takeover=True
        )
        self.known = {}
        lost, self.waiting = self.waiting, {}
        for (_, number), router in lost.items():
            self.fleet.after(
                self.fleet.load.target_ms * ASK_FRACTION,
                lambda router=router, number=number: router.ask(  # type: ignore[misc]
                    *router.asked.pop(number)
                ),
            )

    def deliver(self, router: "ScheduledRouter", message: object) -> None:
        """Decide on a message of a router."""
        now_ms = self.fleet.now_ms
        known = {
            each.number: self.fleet.load.n_slots
            for each in self.fleet.servers
            if not each.is_gone
        }
        if known != self.known:
            self.known = known
            self.reply(self.core.set_servers(known, now_ms))
        match message:
            case SlotRequest():
                self.waiting[message.router, message.number] = router
                self.reply(self.core.request(message, now_ms))
            case SlotRelease():
                if self.fleet.random.random() < self.fleet.load.lost_fraction:
                    return
                self.reply(self.core.release(message, now_ms))
        self.plan()

    def plan(self) -> None:
        """Call the scheduler when something is due."""
        due_ms = self.core.next_due_ms()
        if due_ms is not None and due_ms < self.due_ms:
            self.due_ms = due_ms
            self.fleet.at(max(due_ms, self.fleet.now_ms), self.advance)

    def advance(self) -> None:
        """Do what is due."""
        self.due_ms = math.inf
        self.reply(self.core.advance(self.fleet.now_ms))
        self.plan()

    def reply(self, decisions: list[SlotDecision]) -> None:
        """Send decisions to the routers that wait for them."""
        for each in decisions:
            if isinstance(each, SlotQueued):
                continue
            router = self.waiting.pop((each.router, each.number), None)
            if router is not None:
                self.fleet.after(
                    self.fleet.link_ms(),
                    lambda router=router, each=each: router.apply(each),  # type: ignore[misc]
                )


class ScheduledRouter(Router):
    """Asks the scheduler for a slot."""

    def __init__(self, fleet: SlotFleet, number: int, scheduler: Scheduler) -> None:
        super().__init__(fleet, number)
        self.scheduler = scheduler
        self.numbers = itertools.count()
        self.asked: dict[int, tuple[Call, frozenset[int]]] = {}

    def serve(self, call: Call) -> None:
        self.ask(call, frozenset())

    def ask(self, call: Call, excluded: frozenset[int]) -> None:
        """Ask for a slot."""
        fleet = self.fleet
        number = next(self.numbers)
        self.asked[number] = (call, excluded)
        elapsed_ms = fleet.now_ms - call.attempt_at_ms
        request = SlotRequest(
            router=str(self.number),
            number=number,
            service="s",
            team=str(call.team),
            priority=call.priority,
            target_left_ms=fleet.load.target_ms - elapsed_ms,
            limit_left_ms=call.limit_at_ms - fleet.now_ms,
            excluded=excluded,
        )
        self.tell(request)

    def tell(self, message: object) -> None:
        """Send a message to the scheduler."""
        self.fleet.after(
            self.fleet.link_ms(), lambda: self.scheduler.deliver(self, message)
        )

    def apply(self, decision: SlotDecision) -> None:
        """Act on a decision."""
        call, excluded = self.asked.pop(decision.number)
        match decision:
            case SlotRefusal(retry_after_ms=retry_after_ms):
                self.fleet.refuse(call, retry_after_ms)
            case SlotAssignment(server=server):
                self.run(call, excluded, decision.number, server)

    def run(
        self, call: Call, excluded: frozenset[int], number: int, server: int
    ) -> None:
        """Send a request to the assigned server and release the slot at its end."""
        sent_at_ms = self.fleet.now_ms

        def handle(outcome: str, load: ServerLoad) -> None:
            release = SlotRelease(
                router=str(self.number),
                number=number,
                outcome=OUTCOMES[outcome],
                duration_ms=self.fleet.now_ms - sent_at_ms,
                load=load,
            )
            self.tell(release)
            if outcome == "served":
                self.fleet.complete(call)
            elif len(excluded) + 1 < MAX_SERVERS and self.fleet.take_retry():
                self.ask(call, excluded | {server})
            else:
                self.fleet.refuse(call, TODAY_RETRY_MS)

        self.send(call, self.fleet.servers[server], handle)


def build_scheduled(fleet: SlotFleet, number: int) -> ScheduledRouter:
    """Build a router that asks the scheduler of its fleet."""
    return build_split(fleet, number, n_schedulers=1)


def build_split(
    fleet: SlotFleet, number: int, n_schedulers: int = 2
) -> ScheduledRouter:
    """Build a router in a view that is split, with a scheduler in each part."""
    if number < n_schedulers:
        fleet.schedulers.append(Scheduler(fleet))
    return ScheduledRouter(fleet, number, fleet.schedulers[number % n_schedulers])


def build_mixed(fleet: SlotFleet, number: int) -> Router:
    """Build a router of a fleet in which every second one has the build before."""
    if number % 2:
        return TodayRouter(fleet, number)
    return build_split(fleet, number, n_schedulers=1)
