"""Queue of one backend server, ordered by priority and max-min fair shares."""

from collections import deque
from collections.abc import Callable

from attrs import define, field

from damaskrill.configuration import TeamSpec
from damaskrill.messages import Member, OfferAttempt

__all__ = ["FairQueue", "QueuedAttempt"]


@define(kw_only=True)
class QueuedAttempt:
    """An attempt that waits for a slot.

    Parameters
    ----------
    offer : OfferAttempt
        The offer.
    entry : Member
        Router that made the offer.
    team : TeamSpec
        Team, with its share and the priority of the request.
    queued_at_ms, expires_at_ms : int
        Start and latest end of the wait, in milliseconds.
    deadline_ms : int
        Deadline of the request on this process's clock, in milliseconds.
    """

    offer: OfferAttempt
    entry: Member
    team: TeamSpec
    queued_at_ms: int
    expires_at_ms: int
    deadline_ms: int

    @property
    def attempt_id(self) -> str:
        """ID of the attempt."""
        return self.offer.attempt_id


@define(kw_only=True)
class _TeamQueue:
    waiting: deque[QueuedAttempt] = field(factory=deque)
    # Start tag of the next request of the team in start-time fair queueing.
    next_start: float = 0.0


@define(kw_only=True)
class _PriorityLevel:
    teams: dict[str, _TeamQueue] = field(factory=dict)
    virtual_time: float = 0.0


class FairQueue:
    """Bounded queue ordered by priority, share and current slot usage.

    Parameters
    ----------
    max_length : int
        Maximum number of entries.

    Notes
    -----
    Within a priority, the team with the fewest slots relative to its share is served
    first; ties go to the team with the lowest start tag (start-time fair queueing).
    The tag of a team is discarded once the virtual time has passed it, so that memory
    is bounded by the length of the queue and not by the number of teams.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self, *, max_length: int) -> None:
        self.max_length = max_length
        self._levels: dict[int, _PriorityLevel] = {}
        self._by_id: dict[str, QueuedAttempt] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._by_id

    @property
    def waiting(self) -> tuple[QueuedAttempt, ...]:
        """All entries, in order of arrival."""
        return tuple(self._by_id.values())

    def push(self, entry: QueuedAttempt) -> QueuedAttempt | None:
        """Add an entry.

        Returns
        -------
        QueuedAttempt or None
            The entry that is evicted if the queue was full: among the entries of
            the lowest priority, the newest one of the team with the most entries
            relative to its share. It may be the added entry.
        """
        level = self._levels.setdefault(entry.team.priority, _PriorityLevel())
        queue = level.teams.get(entry.team.name)
        if queue is None:
            queue = _TeamQueue(next_start=level.virtual_time)
            level.teams[entry.team.name] = queue
        if not queue.waiting:
            queue.next_start = max(queue.next_start, level.virtual_time)
        queue.waiting.append(entry)
        self._by_id[entry.attempt_id] = entry
        if len(self._by_id) <= self.max_length:
            return None
        victim = self._select_victim()
        self.remove(victim.attempt_id)
        return victim

    def pop(
        self,
        *,
        n_running: Callable[[str], int],
        may_acquire: Callable[[TeamSpec], bool],
    ) -> QueuedAttempt | None:
        """Remove and return the next entry.

        Parameters
        ----------
        n_running : callable
            Number of slots that a team holds, by its name.
        may_acquire : callable
            Whether a team may acquire one more slot.

        Returns
        -------
        QueuedAttempt or None
            None if no waiting team may acquire a slot.
        """
        for priority in sorted(self._levels):
            level = self._levels[priority]
            names = [
                name
                for name, queue in level.teams.items()
                if queue.waiting and may_acquire(queue.waiting[0].team)
            ]
            if names:
                name = min(names, key=lambda each: _rank(level, each, n_running))
                return self._pop_from(level, name)
        return None

    def remove(self, attempt_id: str) -> QueuedAttempt | None:
        """Remove and return the entry of an attempt, or None if there is none."""
        entry = self._by_id.pop(attempt_id, None)
        if entry is None:
            return None
        level = self._levels[entry.team.priority]
        level.teams[entry.team.name].waiting.remove(entry)
        self._discard_idle_teams(entry.team.priority)
        return entry

    def remove_expired(self, now_ms: int) -> list[QueuedAttempt]:
        """Remove and return the entries whose maximum wait has passed."""
        expired = [
            each for each in self._by_id.values() if each.expires_at_ms <= now_ms
        ]
        for entry in expired:
            self.remove(entry.attempt_id)
        return expired

    def n_ahead(self, team: TeamSpec) -> int:
        """Return how many entries would be served before a new entry of a team."""
        n_ahead = 0
        n_own = 1
        level = self._levels.get(team.priority)
        if level is not None and team.name in level.teams:
            n_own += len(level.teams[team.name].waiting)
        for priority, each in self._levels.items():
            for queue in each.teams.values():
                if priority < team.priority:
                    n_ahead += len(queue.waiting)
                elif priority == team.priority:
                    n_ahead += min(len(queue.waiting), n_own)
        return n_ahead

    def n_waiting(self, team: TeamSpec) -> int:
        """Return how many entries of a team wait in the priority of the team."""
        level = self._levels.get(team.priority)
        queue = level.teams.get(team.name) if level is not None else None
        return len(queue.waiting) if queue is not None else 0

    def _pop_from(self, level: _PriorityLevel, name: str) -> QueuedAttempt:
        queue = level.teams[name]
        entry = queue.waiting.popleft()
        del self._by_id[entry.attempt_id]
        level.virtual_time = max(level.virtual_time, queue.next_start)
        queue.next_start += 1 / entry.team.share
        self._discard_idle_teams(entry.team.priority)
        return entry

    def _discard_idle_teams(self, priority: int) -> None:
        level = self._levels[priority]
        if not any(queue.waiting for queue in level.teams.values()):
            del self._levels[priority]
            return
        for name in list(level.teams):
            queue = level.teams[name]
            if not queue.waiting and queue.next_start <= level.virtual_time:
                del level.teams[name]

    def _select_victim(self) -> QueuedAttempt:
        level = self._levels[max(self._levels)]
        queues = [queue.waiting for queue in level.teams.values() if queue.waiting]
        longest = max(
            queues,
            key=lambda each: (len(each) / each[-1].team.share, each[-1].team.name),
        )
        return longest[-1]


def _rank(
    level: _PriorityLevel, name: str, n_running: Callable[[str], int]
) -> tuple[float, float, str]:
    queue = level.teams[name]
    share = queue.waiting[0].team.share
    return (n_running(name) / share, queue.next_start, name)
