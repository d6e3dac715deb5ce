"""Selection of the routers that read the configuration service, and read schedule."""

import random

from damaskrill.configuration._model import FleetText
from damaskrill.messages import FleetView, Member, ReadText
from damaskrill.utils import rendezvous_score

__all__ = ["ReadSchedule", "ReaderRole", "RoleCache", "role_of"]

ROTATION_MS = 60_000
WATCH_TIMEOUT_MS = 10_000
CHECK_INTERVAL_MS = 5_000
ANSWER_TIMEOUT_MS = 3_000
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 4_000


class ReaderRole:
    """Roles of a router as a reader of the configuration service."""

    WATCHER = "watcher"
    CHECKER = "checker"
    NONE = "none"


def role_of(view: FleetView, now_ms: int) -> str:
    """Return this process's role.

    Parameters
    ----------
    view : FleetView
        Members and active text.
    now_ms : int
        Current time in milliseconds; the roles rotate every ``ROTATION_MS``.

    Returns
    -------
    str
        One watcher per region waits for changes; one checker per data centre asks
        periodically whether there is a newer version than the peers have sent.

    Notes
    -----
    Every read of a newer version transfers a full text, so there are few watchers:
    with texts of one megabyte and a change every 4 s, a watcher reads 250 KB/s. A
    checker that its peers keep up to date only gets the reply that there is nothing
    new.
    """
    own = view.own
    rotation = now_ms // ROTATION_MS
    region = _region_of(own, view.text)
    in_region = [each for each in view.members if _region_of(each, view.text) == region]
    if _is_selected(own, in_region, f"watcher:{rotation}"):
        return ReaderRole.WATCHER
    local_members = [
        each for each in view.members if each.data_centre == own.data_centre
    ]
    if _is_selected(own, local_members, f"checker:{rotation}"):
        return ReaderRole.CHECKER
    return ReaderRole.NONE


class RoleCache:
    """Cache of this process's role until the view or the rotation changes."""

    def __init__(self) -> None:
        self._role = ReaderRole.NONE
        self._view: FleetView | None = None
        self._rotation = -1

    def find(self, view: FleetView, now_ms: int) -> str:
        """Return this process's role; see ``role_of``."""
        rotation = now_ms // ROTATION_MS
        if view is not self._view or rotation != self._rotation:
            self._role = role_of(view, now_ms)
            self._view = view
            self._rotation = rotation
        return self._role


def _region_of(member: Member, text: FleetText) -> str:
    centre = text.data_centres.get(member.data_centre)
    return centre.region if centre and centre.region else member.data_centre


def _is_selected(own: Member, members: list[Member], key: str) -> bool:
    own_score = rendezvous_score(key, own.address)
    return all(
        rendezvous_score(key, each.address) < own_score
        for each in members
        if each.address != own.address
    )


class ReadSchedule:
    """Schedule of this process's reads, with backoff after failures.

    Parameters
    ----------
    random_state : random.Random
        Random generator for the jitter.
    """

    def __init__(self, *, random_state: random.Random) -> None:
        self._random = random_state
        self._requested_at_ms: int | None = None
        self._wait_ms = 0
        self._is_check = False
        self._next_ms = 0
        self._backoff_ms = 0

    def next_read(
        self, role: str, processed_version: int, now_ms: int
    ) -> ReadText | None:
        """Return the read that is due, if any.

        Parameters
        ----------
        role : str
            One of ``ReaderRole``.
        processed_version : int
            Highest version that need not be read.
        now_ms : int
            Current time in milliseconds.
        """
        if self._requested_at_ms is not None:
            overdue = now_ms - self._requested_at_ms > self._wait_ms + ANSWER_TIMEOUT_MS
            if not overdue:
                return None
            self.record_failure(now_ms)
        must_read = role != ReaderRole.NONE or processed_version == 0
        if not must_read or now_ms < self._next_ms:
            return None
        is_watch = role == ReaderRole.WATCHER and processed_version > 0
        self._wait_ms = WATCH_TIMEOUT_MS if is_watch else 0
        self._is_check = role == ReaderRole.CHECKER and processed_version > 0
        self._requested_at_ms = now_ms
        return ReadText(after_version=processed_version, wait_ms=self._wait_ms)

    def record_text(self, now_ms: int, *, is_new: bool) -> None:
        """Record that the service has answered with a text."""
        self._requested_at_ms = None
        self._backoff_ms = 0
        self._next_ms = now_ms if is_new else now_ms + CHECK_INTERVAL_MS

    def record_failure(self, now_ms: int) -> None:
        """Record that the service has not answered, or has nothing new."""
        requested_at_ms = self._requested_at_ms
        self._requested_at_ms = None
        watch_expired = (
            requested_at_ms is not None and now_ms - requested_at_ms >= self._wait_ms
        )
        if self._wait_ms and watch_expired:
            self._backoff_ms = 0
            self._next_ms = now_ms
            return
        if self._is_check:
            # Usually there is nothing new, which looks the same as a failure.
            self._next_ms = now_ms + CHECK_INTERVAL_MS
            return
        self._backoff_ms = min(
            MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, 2 * self._backoff_ms)
        )
        jitter_ms = self._random.randrange(self._backoff_ms)
        self._next_ms = now_ms + self._backoff_ms // 2 + jitter_ms
