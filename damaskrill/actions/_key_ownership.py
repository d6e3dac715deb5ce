"""Ownership history of idempotency keys."""

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
    Ownership follows the host list, not the results of probes: otherwise each side
    of a network partition would take over the keys of the other side. A listed
    router that does not answer keeps its keys, and the outcomes of their actions are
    unknown until it is removed from the list.
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
        """Sorted addresses of the routers that may own keys."""
        return tuple(
            sorted(each for each in self._listed if not self._has_released(each))
        )

    @property
    def listed_digest(self) -> int:
        """Hash of the routers that may own keys."""
        return hash_to_int("\n".join(self.listed))

    def apply_host_list(self, hosts: Iterable[HostEntry], now_ms: int) -> None:
        """Apply a host list and record the owners that it no longer names."""
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
        """Restore a router as an owner if a new process has started there."""
        released_incarnation = self._released.get(member.address)
        if (
            released_incarnation
            and member.incarnation
            and member.incarnation != released_incarnation
        ):
            del self._released[member.address]

    def release(self, member: Member, *, since_ms: int) -> None:
        """Remove a process from the owners of keys.

        Parameters
        ----------
        member : Member
            The process.
        since_ms : int
            Time since which this process knows the actions of the keys that it
            gains, in milliseconds.
        """
        self._released[member.address] = member.incarnation
        self._former_owners.pop(member.address, None)
        self._record_former_owner(member.address, since_ms)

    def invalidate_before(self, now_ms: int) -> None:
        """Discard the ownership history before the current time."""
        self._complete_since_ms = now_ms

    def owner_address(self, key: str, *, exclude: str = "") -> str:
        """Return the address of a key's owner; empty if no router is listed."""
        candidates = [each for each in self.listed if each != exclude]
        return rank_by_rendezvous(key, candidates)[0] if candidates else ""

    def owned_since(self, key: str, now_ms: int) -> int | None:
        """Return the time since which this process has owned one of its keys.

        Returns
        -------
        int or None
            Time in milliseconds; None if the host list is missing or out of date.
        """
        if self._complete_since_ms is None or self._list_read_at_ms is None:
            return None
        if now_ms - self._list_read_at_ms > MAX_LIST_AGE_MS:
            return None
        own_score = rendezvous_score(key, self._own.address)
        since_ms = self._complete_since_ms
        for address, removed_at_ms in self._former_owners.items():
            if rendezvous_score(key, address) > own_score:
                since_ms = max(since_ms, removed_at_ms)
        return since_ms

    def complete_for(self, now_ms: int) -> int:
        """Return how far back the records of all keys of this process are complete.

        Returns
        -------
        int
            Period before ``now_ms``, in milliseconds.
        """
        if self._complete_since_ms is None:
            return 0
        latest = max([self._complete_since_ms, *self._former_owners.values()])
        return max(0, now_ms - latest)

    def _has_released(self, address: str) -> bool:
        return address in self._released

    def _record_former_owner(self, address: str, at_ms: int) -> None:
        previous_ms = self._former_owners.pop(address, 0)
        self._former_owners[address] = max(at_ms, previous_ms)
        if len(self._former_owners) > MAX_FORMER_OWNERS:
            _, dropped_ms = self._former_owners.popitem(last=False)
            self._complete_since_ms = max(self._complete_since_ms or 0, dropped_ms)
