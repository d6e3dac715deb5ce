"""Membership table of the fleet: liveness, readers of the store and links."""

from attrs import define, evolve

from damaskrill.mesh._frames import MemberEntry
from damaskrill.utils import hash_to_int, rank_by_rendezvous

__all__ = ["MemberTable"]

# Up to this fleet size each router links to all others; in larger fleets to a few.
MAX_FULL_MESH = 12
N_LOCAL_LINKS = 2
N_REMOTE_LINKS = 1
# A router is considered dead after this time without a newer heartbeat.
FULL_MESH_EXPIRY_MS = 2_500
EXPIRY_MS = 8_000
# In a large fleet heartbeats are relayed from link to link, so they are less frequent.
RELAYED_HEARTBEAT_MS = 2_000
# Routers of the fleet that read the store; each watch is a billed call.
N_READERS = 2


@define(kw_only=True)
class _Member:
    entry: MemberEntry
    last_seen_ms: float


class MemberTable:
    """Table of live routers by address.

    Parameters
    ----------
    own : MemberEntry
        Entry of this router.
    """

    def __init__(self, *, own: MemberEntry) -> None:
        self._own = own
        self._members: dict[str, _Member] = {}
        self._heartbeat_at_ms = 0.0

    @property
    def own(self) -> MemberEntry:
        """Entry of this router."""
        return self._own

    @property
    def is_full_mesh(self) -> bool:
        """Whether each router links to all others."""
        return len(self._members) + 1 <= MAX_FULL_MESH

    def advance_heartbeat(self, now_ms: float) -> None:
        """Increment this router's heartbeat when it is due."""
        if self.is_full_mesh or now_ms - self._heartbeat_at_ms >= RELAYED_HEARTBEAT_MS:
            self._heartbeat_at_ms = now_ms
            self._own = evolve(self._own, heartbeat=self._own.heartbeat + 1)

    def merge(self, entry: MemberEntry, now_ms: float) -> bool:
        """Merge an entry received from a peer; ignore it if it is not newer.

        Returns
        -------
        bool
            Whether the router or its incarnation is new to the table.
        """
        if entry.address == self._own.address:
            return False
        member = self._members.get(entry.address)
        if member is None:
            self._members[entry.address] = _Member(entry=entry, last_seen_ms=now_ms)
            return True
        old, new = member.entry, entry
        if (new.incarnation, new.heartbeat) <= (old.incarnation, old.heartbeat):
            return False
        member.entry, member.last_seen_ms = entry, now_ms
        return new.incarnation != old.incarnation

    def expire(self, now_ms: float) -> list[MemberEntry]:
        """Remove and return the routers without a heartbeat in time."""
        limit_ms = FULL_MESH_EXPIRY_MS if self.is_full_mesh else EXPIRY_MS
        expired = [
            member.entry
            for member in self._members.values()
            if now_ms - member.last_seen_ms > limit_ms
        ]
        for entry in expired:
            del self._members[entry.address]
        return expired

    def entries(self) -> list[MemberEntry]:
        """Return the entries of all routers, this one first."""
        return [self._own, *(member.entry for member in self._members.values())]

    def addresses(self) -> frozenset[str]:
        """Return the addresses of all routers, this one included."""
        return frozenset({self._own.address, *self._members})

    def is_reader(self) -> bool:
        """Return whether this router reads the store.

        Notes
        -----
        The readers are spread over different data centres if there are several, so
        that one remains when a data centre is lost.
        """
        centre_of = {each.address: each.data_centre for each in self.entries()}
        ranked = rank_by_rendezvous("reader", centre_of)
        readers: list[str] = []
        for address in ranked:
            if centre_of[address] not in {centre_of[each] for each in readers}:
                readers.append(address)
        readers += [each for each in ranked if each not in readers]
        return self._own.address in readers[:N_READERS]

    def wanted_links(self) -> list[str]:
        """Return the addresses of the routers to link to."""
        others = [member.entry for member in self._members.values()]
        if self.is_full_mesh:
            return [each.address for each in others]
        local = [each for each in others if each.data_centre == self._own.data_centre]
        remote = [each for each in others if each.data_centre != self._own.data_centre]
        return self._pick_links(local, N_LOCAL_LINKS) + self._pick_links(
            remote, N_REMOTE_LINKS
        )

    def _pick_links(self, entries: list[MemberEntry], n_links: int) -> list[str]:
        def weight(entry: MemberEntry) -> int:
            pair = sorted((entry.address, self._own.address))
            return hash_to_int(" ".join(pair))

        return [each.address for each in sorted(entries, key=weight)[:n_links]]
