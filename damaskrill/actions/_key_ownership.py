"""Since when this process has owned an idempotency key."""

from collections import OrderedDict
from collections.abc import Iterable

from damaskrill.messages import HostEntry, Member
from damaskrill.utils import hash_to_int, rank_by_rendezvous, rendezvous_score

__all__ = ["KeyOwnership"]

MAX_LIST_AGE_MS = 15_000
MAX_FORMER_OWNERS = 4_096


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
        self._released: dict[str, str] = {}
        self._former_owners: OrderedDict[str, int] = OrderedDict()
        self._complete_since_ms: int | None = None
        self._list_read_at_ms: int | None = None

    @property
    def listed(self) -> tuple[str, ...]:
        """Addresses of the routers that may own keys, sorted."""
        return tuple(
            sorted(each for each in self._listed if not self._has_released(each))
        )

    @property
    def listed_digest(self) -> int:
        """Hash of the routers that may own keys."""
        return hash_to_int("\n".join(self.listed))

    def apply_host_list(self, hosts: Iterable[HostEntry], now_ms: int) -> None:
        """Take a host list; note who has departed."""
        routers = {
            each.address: each.data_centre
            for each in hosts
            if each.role == "router" and not each.leaving
        }
        for address in sorted(self._listed.keys() - routers.keys()):
            if not self._has_released(address):
                self._record_former_owner(address, now_ms)
        if self._own.address not in routers or self._complete_since_ms is None:
            self._complete_since_ms = now_ms
        self._released = {
            address: incarnation
            for address, incarnation in self._released.items()
            if address in routers
        }
        self._listed = routers
        self._list_read_at_ms = now_ms

    def observe_member(self, member: Member) -> None:
        """Let a router own keys again if another process has started there."""
        renounced = self._released.get(member.address)
        if renounced and member.incarnation and member.incarnation != renounced:
            del self._released[member.address]

    def release(self, member: Member, *, since_ms: int) -> None:
        """Let a process own no more keys.

        Parameters
        ----------
        member : Member
            The process.
        since_ms : int
            From when on the keys that this process gains are known to it.
        """
        self._released[member.address] = member.incarnation
        self._former_owners.pop(member.address, None)
        self._record_former_owner(member.address, since_ms)

    def invalidate_before(self, now_ms: int) -> None:
        """Trust nothing that was known before now."""
        self._complete_since_ms = now_ms

    def owner_address(self, key: str, *, exclude: str = "") -> str:
        """Return the address of a key's owner; empty if none is listed."""
        candidates = [each for each in self.listed if each != exclude]
        return rank_by_rendezvous(key, candidates)[0] if candidates else ""

    def owned_since(self, key: str, now_ms: int) -> int | None:
        """Return since when this process has owned a key that it owns now.

        Returns
        -------
        int or None
            Milliseconds; None if that cannot be known.
        """
        if self._complete_since_ms is None or self._list_read_at_ms is None:
            return None
        if now_ms - self._list_read_at_ms > MAX_LIST_AGE_MS:
            return None
        own_score = rendezvous_score(key, self._own.address)
        since_ms = self._complete_since_ms
        for address, departed_at_ms in self._former_owners.items():
            if rendezvous_score(key, address) > own_score:
                since_ms = max(since_ms, departed_at_ms)
        return since_ms

    def complete_for(self, now_ms: int) -> int:
        """How far back the records of all own keys are complete, in milliseconds."""
        if self._complete_since_ms is None:
            return 0
        latest = max([self._complete_since_ms, *self._former_owners.values()])
        return max(0, now_ms - latest)

    def _has_released(self, address: str) -> bool:
        return address in self._released

    def _record_former_owner(self, address: str, at_ms: int) -> None:
        known_ms = self._former_owners.pop(address, 0)
        self._former_owners[address] = max(at_ms, known_ms)
        if len(self._former_owners) > MAX_FORMER_OWNERS:
            _, dropped_ms = self._former_owners.popitem(last=False)
            self._complete_since_ms = max(self._complete_since_ms or 0, dropped_ms)
