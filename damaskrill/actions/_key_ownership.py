"""Since when this process has owned an idempotency key."""

from collections import OrderedDict
from collections.abc import Iterable

from damaskrill.messages import HostEntry, Member
from damaskrill.utils import hash_to_int, rank_by_rendezvous, rendezvous_score

__all__ = ["KeyOwnership"]

MAX_LIST_AGE_MS = 15_000
MAX_DEPARTED = 4_096


class KeyOwnership:
    """Ownership of keys by rendezvous hashing over the listed routers.

    Parameters
    ----------
    own : Member
        This process.

    Notes
    -----
    The host list decides, not the answers to probes: in a partition each side would
    else take over the keys of the other one. A listed router that does not answer
    keeps its keys, and its keys' actions become unknown until the list drops it.
    """

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._listed: dict[str, str] = {}
        self._renounced: dict[str, str] = {}
        self._departed: OrderedDict[str, int] = OrderedDict()
        self._floor_ms: int | None = None
        self._list_read_at_ms: int | None = None

    @property
    def listed(self) -> tuple[str, ...]:
        """Addresses of the routers that may own keys, sorted."""
        return tuple(sorted(each for each in self._listed if not self._is_out(each)))

    @property
    def listed_digest(self) -> int:
        """Hash of the routers that may own keys."""
        return hash_to_int("\n".join(self.listed))

    def take_host_list(self, hosts: Iterable[HostEntry], now_ms: int) -> None:
        """Take a host list; note who has departed."""
        routers = {
            each.address: each.data_centre
            for each in hosts
            if each.role == "router" and not each.leaving
        }
        for address in sorted(self._listed.keys() - routers.keys()):
            if not self._is_out(address):
                self._note_departed(address, now_ms)
        if self._own.address not in routers or self._floor_ms is None:
            self._floor_ms = now_ms
        self._renounced = {
            address: incarnation
            for address, incarnation in self._renounced.items()
            if address in routers
        }
        self._listed = routers
        self._list_read_at_ms = now_ms

    def see_member(self, member: Member) -> None:
        """Let a router own keys again if another process has started there."""
        renounced = self._renounced.get(member.address)
        if renounced and member.incarnation and member.incarnation != renounced:
            del self._renounced[member.address]

    def renounce(self, member: Member, *, since_ms: int) -> None:
        """Let a process own no more keys.

        Parameters
        ----------
        member : Member
            The process.
        since_ms : int
            From when on the keys that this process gains are known to it.
        """
        self._renounced[member.address] = member.incarnation
        self._departed.pop(member.address, None)
        self._note_departed(member.address, since_ms)

    def forget_before(self, now_ms: int) -> None:
        """Trust nothing that was known before now."""
        self._floor_ms = now_ms

    def owner_address(self, key: str, *, without: str = "") -> str:
        """Return the address of a key's owner; empty if none is listed."""
        candidates = [each for each in self.listed if each != without]
        return rank_by_rendezvous(key, candidates)[0] if candidates else ""

    def owned_since(self, key: str, now_ms: int) -> int | None:
        """Return since when this process has owned a key that it owns now.

        Returns
        -------
        int or None
            Milliseconds; None if that cannot be known.
        """
        if self._floor_ms is None or self._list_read_at_ms is None:
            return None
        if now_ms - self._list_read_at_ms > MAX_LIST_AGE_MS:
            return None
        own_score = rendezvous_score(key, self._own.address)
        since_ms = self._floor_ms
        for address, departed_at_ms in self._departed.items():
            if rendezvous_score(key, address) > own_score:
                since_ms = max(since_ms, departed_at_ms)
        return since_ms

    def complete_for(self, now_ms: int) -> int:
        """How far back the records of all own keys are complete, in milliseconds."""
        if self._floor_ms is None:
            return 0
        latest = max([self._floor_ms, *self._departed.values()])
        return max(0, now_ms - latest)

    def _is_out(self, address: str) -> bool:
        return address in self._renounced

    def _note_departed(self, address: str, at_ms: int) -> None:
        known_ms = self._departed.pop(address, 0)
        self._departed[address] = max(at_ms, known_ms)
        if len(self._departed) > MAX_DEPARTED:
            _, dropped_ms = self._departed.popitem(last=False)
            self._floor_ms = max(self._floor_ms or 0, dropped_ms)
