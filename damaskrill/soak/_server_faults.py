"""Faults and peculiarities of single backend servers."""

import time
from collections.abc import Callable

from damaskrill.fakes.platform import FakeServer, FakeStore, Misbehaviour
from damaskrill.soak._disruptions import Disruptions
from damaskrill.soak._fatal_requests import (
    FATAL_PATH,
    FatalInput,
    FatalPart,
    FatalRequest,
)
from damaskrill.soak._limits import LIMIT_PER_S, LimitPeriod
from damaskrill.soak._plan import Fault, FaultKind
from damaskrill.soak._schedule import Schedule
from damaskrill.soak._servers import ENGINES, N_EVENTS, PLAIN, SERVICES, ServerFleet

__all__ = ["PAUSE_S", "SETTLING_S", "ServerFaults", "find_fatal_input"]

# Pause that servers ask for, in seconds.
PAUSE_S = 1.5
MISBEHAVIOURS = (
    Misbehaviour.FULL,
    Misbehaviour.MOVED,
    Misbehaviour.ERROR,
    Misbehaviour.RESET,
    Misbehaviour.CUT,
    Misbehaviour.SECOND_ANSWER,
    Misbehaviour.OTHER_ID,
    Misbehaviour.NO_SEAL,
    Misbehaviour.NO_LENGTH_RESET,
    Misbehaviour.RUBBISH,
    Misbehaviour.MID_EVENT,
    Misbehaviour.HANG,
)
ENDLESS_MISBEHAVIOURS = (Misbehaviour.ENDLESS_HEAD, Misbehaviour.ENDLESS_BODY)
# First ID of prompt parts that are fatal to servers.
FATAL_PART_IDS = 0xBAD0000
# Silences of sound servers, in milliseconds.
MIN_SILENCE_MS = 700
MAX_SILENCE_MS = 1_500
# Time for which a server states a limit beyond the duration of the fault, in seconds:
# the limit only binds after some seconds.
MIN_LIMIT_S = 5.0
# Share of the requests that servers fail while a router is cut off from them.
FAILURE_SHARE = 0.5
# How the servers of a failing service fail, and the shares of requests that they do.
SERVICE_FAILURES = {
    PLAIN: (Misbehaviour.ERROR, Misbehaviour.FULL, Misbehaviour.RESET),
    ENGINES: (Misbehaviour.MID_EVENT, Misbehaviour.FULL, Misbehaviour.RESET),
}
FAILURE_SHARES = (1.0, 0.5)
# Time after its end in which the effects of a server's misbehaviour may still be seen,
# in seconds.
SETTLING_S = 0.5


class ServerFaults:
    """Injects the faults of servers.

    Parameters
    ----------
    store : FakeStore
        The store.
    fleet : ServerFleet
        The servers.
    disruptions : Disruptions
        Record of the faults.
    schedule : Schedule
        Ends of the faults.
    is_store_stable : callable
        Returns whether routers learn of changes in the store within their bounds.

    Attributes
    ----------
    notified_at, announced_at : dict of str to float
        Times at which a server announced in the store, and in its answers, that it
        leaves.
    limit_periods : list of LimitPeriod
        Times for which servers stated a limit.
    """

    def __init__(
        self,
        *,
        store: FakeStore,
        fleet: ServerFleet,
        disruptions: Disruptions,
        schedule: Schedule,
        is_store_stable: Callable[[], bool],
    ) -> None:
        self.notified_at: dict[str, float] = {}
        self.announced_at: dict[str, float] = {}
        self.limit_periods: list[LimitPeriod] = []
        self._store = store
        self._fleet = fleet
        self._disruptions = disruptions
        self._schedule = schedule
        self._is_store_stable = is_store_stable

    def inject(self, fault: Fault) -> bool:
        """Begin a fault; return whether it is one of a server."""
        match fault.kind:
            case FaultKind.LEAVE_SERVER | FaultKind.CRASH_SERVER:
                self._replace_server(fault)
            case FaultKind.REUSE_ADDRESS:
                # The server disappears without notice, and a server of another service
                # registers its address immediately; the old entry expires later.
                old = self._fleet.reuse_address(fault.target)
                self._disruptions.record_server(old.server_id, time.monotonic())
                self._schedule.call_later(
                    fault.duration_s, lambda: self._store.remove_server(old.server_id)
                )
            case FaultKind.ANNOUNCE_LEAVING:
                # The entry in the store stays as it is.
                server = self._fleet.pick_registered(fault.target)
                self._fleet.remove_entry(server)
                server.is_leaving = True
                self.announced_at[server.server_id] = time.monotonic()
            case FaultKind.ASK_FOR_PAUSE:
                server = self._fleet.pick_registered(fault.target)
                server.retry_after = str(PAUSE_S).encode()
                self._misbehave(fault, server, Misbehaviour.FULL)
            case FaultKind.SERVER_MISBEHAVES:
                server = self._fleet.pick(fault.target)
                misbehaviour = MISBEHAVIOURS[fault.target % len(MISBEHAVIOURS)]
                self._misbehave(fault, server, misbehaviour)
            case FaultKind.BROKEN_UNFRAMED_ANSWERS:
                server = self._fleet.pick_registered(fault.target)
                self._misbehave(fault, server, Misbehaviour.NO_LENGTH_MID_EVENT)
            case FaultKind.ENDLESS_ANSWERS:
                server = self._fleet.pick_registered(fault.target)
                number = fault.target % len(ENDLESS_MISBEHAVIOURS)
                self._misbehave(fault, server, ENDLESS_MISBEHAVIOURS[number])
            case FaultKind.SILENT_SERVER:
                self._silence_server(fault)
            case FaultKind.UNFRAMED_ANSWERS:
                server = self._fleet.pick_registered(fault.target)
                server.is_unframed = True
                self._schedule.call_later(
                    fault.duration_s, lambda: _restore_framing(server)
                )
            case FaultKind.STATE_LIMIT:
                self._state_limit(fault)
            case FaultKind.FAILING_SERVICE:
                self._fail_service(fault)
            case FaultKind.FATAL_PART:
                self._fleet.fatal_parts.add(_fatal_part_id(fault))
            case FaultKind.FATAL_REQUEST:
                self._fleet.fatal_requests.add((FATAL_PATH.encode(), b""))
            case _:
                return False
        return True

    def _misbehave(
        self, fault: Fault, server: FakeServer, misbehaviour: Misbehaviour
    ) -> None:
        server.misbehaviour = misbehaviour
        now = time.monotonic()
        ends_at = now + fault.duration_s + SETTLING_S
        self._disruptions.record_server(server.server_id, now, ends_at)
        self._schedule.call_later(fault.duration_s, lambda: _clear_misbehaviour(server))

    def _fail_service(self, fault: Fault) -> None:
        """Let all servers of a service, or all but one, fail requests."""
        service = SERVICES[fault.target % len(SERVICES)]
        number = fault.target // len(SERVICES)
        failures = SERVICE_FAILURES[service]
        failing = [
            self._fleet.find(server_id)
            for server_id, entry in self._fleet.entries.items()
            if entry["service"] == service
        ]
        is_all = number // len(failures) % 2 == 0
        for server in failing if is_all else failing[1:]:
            if server.misbehaviour is Misbehaviour.NONE:
                n_shares = len(FAILURE_SHARES)
                share = number // len(failures) // 2 % n_shares
                server.failure_share = FAILURE_SHARES[share]
                self._misbehave(fault, server, failures[number % len(failures)])

    def fail_requests(self, fault: Fault) -> None:
        """Let all sound servers fail a share of their requests."""
        for server_id, entry in self._fleet.entries.items():
            server = self._fleet.find(server_id)
            if server.misbehaviour is Misbehaviour.NONE:
                server.failure_share = FAILURE_SHARE
                is_plain = entry["service"] == PLAIN
                self._misbehave(
                    fault,
                    server,
                    Misbehaviour.ERROR if is_plain else Misbehaviour.MID_EVENT,
                )

    def _state_limit(self, fault: Fault) -> None:
        server = self._fleet.pick_registered(fault.target)
        if server.rate_limit is not None:
            return
        duration_s = MIN_LIMIT_S + fault.duration_s
        server.rate_limit = str(LIMIT_PER_S).encode()
        now = time.monotonic()
        self.limit_periods.append(
            LimitPeriod(server_id=server.server_id, begin=now, end=now + duration_s)
        )
        self._schedule.call_later(duration_s, lambda: _end_limit(server))

    def _silence_server(self, fault: Fault) -> None:
        server = self._fleet.pick_registered(fault.target)
        if server.misbehaviour is not Misbehaviour.NONE:
            return
        n_durations = MAX_SILENCE_MS - MIN_SILENCE_MS + 1
        server.silence_ms = MIN_SILENCE_MS + fault.target % n_durations
        server.n_events_before_silence = fault.target % N_EVENTS
        server.misbehaviour = Misbehaviour.PAUSE
        self._schedule.call_later(fault.duration_s, lambda: _end_silence(server))

    def _replace_server(self, fault: Fault) -> None:
        server = self._fleet.pick_registered(fault.target)
        entry = self._fleet.remove_entry(server)
        if fault.kind is FaultKind.CRASH_SERVER:
            self._fleet.crash(server)
            self._disruptions.record_server(server.server_id, time.monotonic())
            self._store.remove_server(server.server_id)
            return
        self._store.put_leaving(server.server_id, entry)
        if self._is_store_stable():
            self.notified_at[server.server_id] = time.monotonic()


def find_fatal_input(fault: Fault) -> FatalInput | None:
    """Return what servers crash at, if it is a fault of this kind."""
    match fault.kind:
        case FaultKind.FATAL_PART:
            return FatalPart(part_id=_fatal_part_id(fault))
        case FaultKind.FATAL_REQUEST:
            return FatalRequest()
        case _:
            return None


def _fatal_part_id(fault: Fault) -> str:
    return f"{FATAL_PART_IDS + fault.target:x}"


def _clear_misbehaviour(server: FakeServer) -> None:
    server.misbehaviour = Misbehaviour.NONE
    server.failure_share = 1.0
    server.retry_after = None


def _end_silence(server: FakeServer) -> None:
    if server.misbehaviour is Misbehaviour.PAUSE:
        server.misbehaviour = Misbehaviour.NONE


def _end_limit(server: FakeServer) -> None:
    server.rate_limit = None


def _restore_framing(server: FakeServer) -> None:
    server.is_unframed = False
