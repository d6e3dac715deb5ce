"""Routers before servers that crash under requests, on a virtual clock."""

import heapq
import itertools
from collections import Counter
from random import Random

from attrs import astuple, define, field

from damaskrill.steering import (
    CrashDetector,
    CrashGuard,
    PromptPart,
    SoundnessReport,
    short_id,
)
from damaskrill.utils import rank_by_rendezvous

RESTART_MS = 4_000
NETWORK_MS = 5
# Time from the arrival at a server to the beginning of the answer.
QUEUE_MS = (20, 300)
ANSWER_MS = (300, 2_500)
# Time from the beginning of an answer to the crash that its prompt causes.
CRASH_MS = (30, 110)
# Age of an answer up to which its end may show a crash under it, and from which it
# shows that its parts are sound.
YOUNG_MS = 500
SOUND_MS = 1_000
# Time from the sending of a request without an answer up to which its end may show a
# crash under it.
YOUNG_RUN_MS = 2_000
# Plain servers answer at once when they have finished.
PLAIN_QUEUE_MS = (1, 40)
WORK_MS = (20, 120)
PUBLISH_MS = 50
LINK_MS = (0, 150)
MAX_SENT = 2
# Time after which a caller sends a request again that has failed.
RETRY_MS = 400
BAD_PER_S = 2
# Share of the sound requests that have the most popular first part.
POPULAR_SHARE = 0.3
N_TEAMS = 8
N_DOSSIERS = 60
# Reads of the same path by the same team, which come again and again.
N_READS = 40


@define(eq=False)
class SimServer:
    number: int
    incarnation: int
    running: set = field(factory=set)
    is_up: bool = True

    @property
    def key(self):
        return (f"e-{self.number}", self.incarnation)


@define(eq=False)
class SimRequest:
    router: int
    parts: tuple
    is_bad: bool
    guard: CrashGuard
    is_plain: bool = False
    arrived_ms: float = 0.0
    n_sent: int = 0
    sent_ms: float = 0.0
    begun_ms: float | None = None
    breaks_off: bool = False
    # Whether the server of the first attempt has begun to answer.
    has_begun: bool = False


def neighbours(number, n):
    steps = (1, 19, 33, -1, -19, -33) if n > 12 else range(1, n)
    return sorted({(number + step) % n for step in steps} - {number})


class CrashingFleet:
    """Fleet on a virtual clock; counts what reached servers and what was rejected."""

    def __init__(self, *, n_routers, n_servers, random_state):
        self.random = Random(random_state)
        self.now_ms = 0.0
        self.bad_parts = set()
        self.bad_requests = set()
        # Times, in milliseconds: crashes under bad parts, bad requests that reached a
        # server, and (time, parts, blocked part) of sound requests that were rejected.
        self.crashes = []
        self.bad_reached = []
        self.sound_rejected = []
        self.ever_blocked = set()
        self.n_served = 0
        self.break_share = 0.0
        self._served = set()
        # Bytes of reports on the soundness of parts, by router and second.
        self.soundness_bytes = Counter()
        self._events = []
        self._order = itertools.count()
        self._names = [f"r-{number}" for number in range(n_routers)]
        self.detectors = [CrashDetector(router=name) for name in self._names]
        self._cursors = [{} for _ in range(n_routers)]
        self._is_publishing = [False] * n_routers
        self.servers = [SimServer(number, 0) for number in range(n_servers)]
        self._n_requests = itertools.count()

    def at(self, delay_ms, work, *args):
        event = (self.now_ms + delay_ms, next(self._order), work, args)
        heapq.heappush(self._events, event)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, work, args = heapq.heappop(self._events)
            work(*args)
        self.now_ms = until_ms

    def every(self, per_s, work, *, until_ms, is_regular=False):
        """Do something with a mean rate, at random or nearly equal intervals."""
        at_ms, mean_ms = self.now_ms, 1_000 / per_s
        while True:
            if is_regular:
                at_ms += mean_ms * self.random.uniform(0.6, 1.4)
            else:
                at_ms += self.random.expovariate(1 / mean_ms)
            if at_ms >= until_ms:
                return
            self.at(at_ms - self.now_ms, work)

    def send_all(self, *, sound_per_s, until_ms):
        """Send sound requests from now on."""
        self.every(sound_per_s, self.send_sound, until_ms=until_ms)

    def send_bad_ones(self, choose, *, until_ms, is_regular=True, routers=None):
        """Send two requests a second with a bad part, to all or some routers."""
        routers = routers or range(len(self.detectors))
        self.every(
            BAD_PER_S,
            lambda: self.send(
                choose(self.random), is_bad=True, router=self.random.choice(routers)
            ),
            until_ms=until_ms,
            is_regular=is_regular,
        )

    def send_together(self, prompts, *, every_ms, until_ms, is_bad, n_retries=0):
        """Send requests at the same moment again and again; return a list of them.

        Parameters
        ----------
        prompts : callable
            Returns the prompts of one moment, given its number.
        n_retries : int, default=0
            How often callers send a request again that has not begun.
        """
        requests = []

        def send_next(number):
            if self.now_ms >= until_ms:
                return
            for parts in prompts(number):
                requests.append(self.send(parts, is_bad=is_bad))
                for turn in range(n_retries):
                    retry_ms = RETRY_MS * (turn + 1)
                    self.at(retry_ms, self._retry, requests[-1], parts, is_bad)
            self.at(every_ms, send_next, number + 1)

        send_next(0)
        return requests

    def _retry(self, request, parts, is_bad):
        if request not in self._served:
            self.send(parts, is_bad=is_bad)

    def restart_routers(self):
        """Start all routers anew: they know nothing of before."""
        first_number = round(self.now_ms)
        self.detectors = [
            CrashDetector(router=name, first_number=first_number)
            for name in self._names
        ]
        self._cursors = [{} for _ in self._names]

    def send_sound(self):
        is_popular = self.random.random() < POPULAR_SHARE
        team = 0 if is_popular else self.random.randrange(N_TEAMS)
        dossier = self.random.randrange(N_DOSSIERS)
        self.send((f"team-{team}", f"dossier-{dossier}"), is_bad=False)

    def send_sound_read(self):
        self.send_plain(self.random.randrange(N_READS) + 1_000)

    def send_plain(self, fingerprint, *, router=None):
        """Send a request without a prompt."""
        is_bad = fingerprint in self.bad_requests
        return self.send(
            (), is_bad=is_bad, router=router, fingerprint=fingerprint, is_plain=True
        )

    def send(self, parts, *, is_bad, router=None, fingerprint=None, is_plain=False):
        if router is None:
            router = self.random.randrange(len(self.detectors))
        number = next(self._n_requests)
        prompt = ()
        if not is_plain:
            names = (*parts, f"own-{number}")
            prompt = [PromptPart(part_id=part, n_tokens=1) for part in names]
        guard = CrashGuard(
            detector=self.detectors[router],
            prompt=prompt,
            fingerprint=fingerprint or 1_000_000 + number,
            find_rank=lambda key: self._find_rank(router, key),
        )
        request = SimRequest(router, tuple(parts), is_bad, guard, is_plain)
        request.arrived_ms = self.now_ms
        request.breaks_off = self.random.random() < self.break_share
        self._try_send(request)
        return request

    def _find_rank(self, router, key):
        ranked = rank_by_rendezvous(key, self._names)
        return ranked.index(self._names[router]), len(ranked)

    def _try_send(self, request):
        rejected = request.guard.find_rejection(self.now_ms)
        if rejected is not None:
            if not request.is_bad:
                self.sound_rejected.append((self.now_ms, request.parts, rejected))
            request.guard.close()
            return
        servers = [server for server in self.servers if server.is_up]
        if not servers:
            request.guard.close()
            return
        request.n_sent += 1
        request.sent_ms = self.now_ms
        request.begun_ms = None
        if request.is_bad:
            self.bad_reached.append(self.now_ms + NETWORK_MS)
        server = self.random.choice(servers)
        server.running.add(request)
        queue_ms = PLAIN_QUEUE_MS if request.is_plain else QUEUE_MS
        begin = self._begin_plain if request.is_plain else self._begin
        self.at(NETWORK_MS + self.random.uniform(*queue_ms), begin, request, server)

    def _begin_plain(self, request, server):
        if request not in server.running:
            return
        if request.is_bad:
            self.at(self.random.uniform(*CRASH_MS), self._crash_under, server)
        elif request.breaks_off:
            self.at(self.random.uniform(*CRASH_MS), self._break, request, server)
        else:
            self.at(self.random.uniform(*WORK_MS), self._finish, request, server)

    def _begin(self, request, server):
        if request not in server.running:
            return
        request.begun_ms = self.now_ms
        request.has_begun |= request.n_sent == 1
        if not self.bad_parts.isdisjoint(request.parts):
            self.at(self.random.uniform(*CRASH_MS), self._crash_under, server)
        elif request.breaks_off:
            self.at(self.random.uniform(*CRASH_MS), self._break, request, server)
        else:
            self.at(self.random.uniform(*ANSWER_MS), self._finish, request, server)

    def _finish(self, request, server):
        if request in server.running:
            server.running.discard(request)
            self.n_served += 1
            self._served.add(request)
            detector = self.detectors[request.router]
            if detector.record_answer(server.key, request.sent_ms):
                self._publish_soon(request.router)
            self._record_served(request)
            request.guard.close()

    def _break(self, request, server):
        if request in server.running:
            server.running.discard(request)
            request.breaks_off = False
            self._handle_break(request, server)

    def _crash_under(self, server):
        if server.is_up:
            self.crashes.append(self.now_ms)
            self.crash(server)

    def crash(self, server, *, restart_ms=RESTART_MS):
        server.is_up = False
        broken = sorted(server.running, key=lambda each: each.router)
        server.running.clear()
        for request in broken:
            self.at(NETWORK_MS, self._handle_break, request, server)
        if restart_ms is not None:
            self.at(restart_ms, self._restart, server)

    def _restart(self, server):
        fresh = SimServer(server.number, server.incarnation + 1)
        self.servers[self.servers.index(server)] = fresh

    def _handle_break(self, request, server):
        waited_ms = self.now_ms - request.sent_ms
        has_begun = request.begun_ms is not None
        age_ms = self.now_ms - request.begun_ms if has_begun else waited_ms
        if has_begun and age_ms > SOUND_MS:
            self._record_served(request)
        elif age_ms <= (YOUNG_MS if has_begun else YOUNG_RUN_MS):
            request.guard.record_crash(
                server.key, self.now_ms, waited_ms=waited_ms, has_begun=has_begun
            )
            self._publish_soon(request.router)
        if request.n_sent < MAX_SENT and not request.guard.is_suspected:
            self._try_send(request)
        else:
            request.guard.close()

    def _record_served(self, request):
        if request.guard.record_served(self.now_ms):
            self._publish_soon(request.router)

    def _publish_soon(self, router):
        if not self._is_publishing[router]:
            self._is_publishing[router] = True
            self.at(PUBLISH_MS, self._publish, router)

    def _publish(self, router):
        self._is_publishing[router] = False
        for receiver in neighbours(router, len(self.detectors)):
            cursor = self._cursors[router].get(receiver, 0)
            reports, cursor = self.detectors[router].reports_after(
                cursor, now_ms=self.now_ms, exclude_link=str(receiver)
            )
            self._cursors[router][receiver] = cursor
            if reports:
                self._count_soundness_bytes(router, reports)
                delay_ms = self.random.uniform(*LINK_MS)
                self.at(delay_ms, self._receive, router, receiver, reports)

    def _count_soundness_bytes(self, router, reports):
        # Packed numbers of 32 bits each.
        n_numbers = sum(
            len(astuple(each)) for each in reports if isinstance(each, SoundnessReport)
        )
        second = int(self.now_ms // 1_000)
        self.soundness_bytes[router, second] += 4 * n_numbers

    def _receive(self, sender, receiver, reports):
        detector = self.detectors[receiver]
        if detector.apply_reports(reports, now_ms=self.now_ms, source=str(sender)):
            self._publish_soon(receiver)
        self.ever_blocked |= detector.take_changes(self.now_ms).blocked

    def find_blocking(self, part):
        """Return the numbers of the routers that block a part."""
        return [
            number
            for number, detector in enumerate(self.detectors)
            if detector.find_blocked([short_id(part)], self.now_ms)
        ]


def choose_first_part(random):
    """Return a prompt whose first part is bad; the other one is shared."""
    return ("bad", f"dossier-{random.randrange(N_DOSSIERS)}")


def choose_second_part(random):
    """Return a prompt whose second part is bad; the first one is shared."""
    return (f"team-{random.randrange(N_TEAMS)}", "bad")


def choose_after_popular_part(random):
    """Return a prompt whose bad part follows the most popular first part."""
    return ("team-0", "bad")


def choose_other_bad_part(random):
    """Return a prompt with another bad part."""
    return (f"team-{random.randrange(N_TEAMS)}", "bad-2")


CHOICES = {
    "first": choose_first_part,
    "second": choose_second_part,
    "second, after the most popular first one": choose_after_popular_part,
}
