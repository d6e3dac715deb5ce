"""Membership table of the fleet: liveness, readers of the store and links."""

from collections import Counter
from collections.abc import Iterable
from hmac import compare_digest

from attrs import define, evolve

from damaskrill.mesh._frames import (
    ASKS_FOR_SLOTS,
    ASSIGNS_SLOTS,
    MemberEntry,
    Suspicion,
)
from damaskrill.steering import short_id
from damaskrill.utils import LatestOrder, hash_to_int, rank_by_rendezvous

__all__ = ["MemberTable"]

# Up to this fleet size each router links to all others; in larger fleets to a few.
MAX_FULL_MESH = 12
N_LOCAL_LINKS = 2
N_REMOTE_LINKS = 1
# A router is considered dead after this time without a newer heartbeat.
FULL_MESH_EXPIRY_MS = 2_500
# The same for relayed heartbeats, in intervals between two of them.
EXPIRY_INTERVALS = 4
# In a large fleet heartbeats are relayed from link to link. They are less frequent, so
# that a link carries at most 17 of them per second.
MIN_RELAYED_HEARTBEAT_MS = 2_000
RELAYED_HEARTBEAT_MS_PER_MEMBER = 60
# Time in which a suspected router can prove that it is alive: a heartbeat crosses the
# fleet in some hundred milliseconds.
SUSPICION_MS = 3_000
# Time for which the last heartbeat of a removed router is remembered, so that a peer
# that has not removed it yet cannot restore it.
REMOVED_RETENTION_MS = 60_000
# Routers of the fleet that read the store; each watch is a billed call.
N_READERS = 2
# Routers that replace the readers first, if the replica becomes stale.
N_STANDBY_READERS = 4
# Routers that dial a lost one, as a network partition may have healed.
N_LOST_DIALLERS = 3
# In a large fleet, routers of a group that are told of a stream, and the size from
# which the routers of a data centre are such a group.
N_TOLD = 2
MIN_GROUP = 4
# Routers of a group that may keep a record, one of which may be the router that begins
# the stream.
N_KEEPERS = N_TOLD + 1
# Share of the routers that has to ask for slots before any does: requests that wait for
# their turn come off worse than those that others send without asking.
MIN_ASKING_SHARE = 0.9


@define(kw_only=True)
class _Member:
    entry: MemberEntry
    last_seen_ms: float
    source: str
    suspected_at_ms: float | None = None


class MemberTable:
    """Table of live routers by address.

    Parameters
    ----------
    own : MemberEntry
        Entry of this router.

    Notes
    -----
    In a large fleet, the neighbours of a dead router suspect it when its links end, and
    publish the suspicion. A router that is alive answers with a newer heartbeat, in the
    manner of SWIM (Das, Gupta and Motivala, DSN 2002). Heartbeats can therefore be
    infrequent.
    """

    def __init__(self, *, own: MemberEntry) -> None:
        self._own = own
        self._members: dict[str, _Member] = {}
        # Removed members, oldest first.
        self._removed: dict[str, _Member] = {}
        self._heartbeat_at_ms = 0.0
        # When some router last told only a few others of its streams.
        self._tells_few_at_ms = float("-inf")
        self._updated: LatestOrder[str] = LatestOrder()
        self._updated.update(own.address)
        self._n_joins = 0
        self._suspected: LatestOrder[str] = LatestOrder()
        # Ranks take time in proportion to the fleet, so they are kept until it changes.
        self._addresses: frozenset[str] | None = None
        self._readers_before: tuple[int, ...] | None = None
        self._wanted_links: list[str] | None = None
        self._lost_dials: dict[str, bool] = {}
        self._group_sizes: Counter[str] | None = None
        self._schedulers: frozenset[str] | None = None
        self._do_most_ask = True

    @property
    def own(self) -> MemberEntry:
        """Entry of this router."""
        return self._own

    @property
    def n_members(self) -> int:
        """Number of live routers, this one included."""
        return len(self._members) + 1

    @property
    def is_full_mesh(self) -> bool:
        """Whether each router links to all others."""
        return self.n_members <= MAX_FULL_MESH

    @property
    def last_update(self) -> int:
        """Number of the newest update of an entry."""
        return self._updated.last_number

    @property
    def n_joins(self) -> int:
        """Number of routers and incarnations that have been added to the table."""
        return self._n_joins

    @property
    def last_suspicion(self) -> int:
        """Number of the newest suspicion."""
        return self._suspected.last_number

    @property
    def relayed_heartbeat_ms(self) -> float:
        """Interval between two heartbeats of a router in a large fleet."""
        scaled_ms = RELAYED_HEARTBEAT_MS_PER_MEMBER * self.n_members
        return max(MIN_RELAYED_HEARTBEAT_MS, scaled_ms)

    def advance_heartbeat(self, now_ms: float) -> None:
        """Increment this router's heartbeat when it is due."""
        tells_all = all(each.tells_all for each in self.entries())
        if not (self.is_full_mesh and tells_all):
            self._tells_few_at_ms = now_ms
        interval_ms = 0.0 if self.is_full_mesh else self.relayed_heartbeat_ms
        if now_ms - self._heartbeat_at_ms >= interval_ms:
            self._increment_heartbeat(now_ms)

    def set_path(self, has_path: bool, now_ms: float) -> None:
        """Publish whether this router can reach the backend servers."""
        self._own = evolve(self._own, has_path=has_path)
        self._schedulers = None
        self._increment_heartbeat(now_ms)

    def stop_scheduling(self, now_ms: float) -> None:
        """Publish that this router is not to be asked for slots any more."""
        slots = min(self._own.slots, ASKS_FOR_SLOTS)
        self._own = evolve(self._own, slots=slots)
        self._schedulers = None
        self._increment_heartbeat(now_ms)

    @property
    def do_most_ask(self) -> bool:
        """Whether so many routers ask for slots that these are kept by all in all."""
        self.schedulers()
        return self._do_most_ask

    def schedulers(self) -> frozenset[str]:
        """Return the addresses of the routers that may be asked for slots.

        Notes
        -----
        A router that is suspected, or that has no path to the servers and so no news of
        them, is asked only if no other may be.
        """
        if self._schedulers is None:
            n_asking = sum(each.slots >= ASKS_FOR_SLOTS for each in self.entries())
            self._do_most_ask = n_asking >= MIN_ASKING_SHARE * self.n_members
            members = [each for each in self._members.values() if _assigns(each.entry)]
            sound = {
                each.entry.address
                for each in members
                if each.entry.has_path and each.suspected_at_ms is None
            }
            if _assigns(self._own) and self._own.has_path:
                sound.add(self._own.address)
            if not sound:
                sound = {each.entry.address for each in members}
                sound |= {self._own.address} if _assigns(self._own) else set()
            self._schedulers = frozenset(sound)
        return self._schedulers

    def merge(self, entry: MemberEntry, now_ms: float, *, source: str = "") -> bool:
        """Merge an entry received from a peer; ignore it if it is not newer.

        Parameters
        ----------
        entry : MemberEntry
            The received entry.
        now_ms : float
            Current time in milliseconds.
        source : str, default=""
            Link over which it arrived; it is not sent back over it.

        Returns
        -------
        bool
            Whether the router or its incarnation is new to the table.
        """
        if entry.address == self._own.address:
            return False
        member = self._members.get(entry.address)
        old = member or self._removed.get(entry.address)
        if old is not None and entry.version <= old.entry.version:
            return False
        is_new = member is None or member.entry.incarnation != entry.incarnation
        if is_new or _may_change_schedulers(member, entry):
            self._schedulers = None
        self._members[entry.address] = _Member(
            entry=entry, last_seen_ms=now_ms, source=source
        )
        self._removed.pop(entry.address, None)
        self._suspected.discard(entry.address)
        if is_new:
            self._n_joins += 1
            self._reset_cache()
            if self.n_members > self._own.n_known:
                self._own = evolve(self._own, n_known=self.n_members)
        if is_new or not self.is_full_mesh:
            # In a full mesh only the router itself publishes its heartbeat.
            self._updated.update(entry.address)
        return is_new

    def suspect(self, suspicion: Suspicion, now_ms: float, *, source: str = "") -> bool:
        """Suspect a router unless its entry is newer; return whether this is news."""
        version = (suspicion.incarnation, suspicion.heartbeat)
        if suspicion.address == self._own.address:
            if version != self._own.version:
                return False
            self._increment_heartbeat(now_ms)
            return True
        member = self._members.get(suspicion.address)
        if member is None or member.suspected_at_ms is not None:
            return False
        if version < member.entry.version:
            return False
        member.suspected_at_ms = now_ms
        member.source = source
        self._schedulers = None
        self._suspected.update(suspicion.address)
        return True

    def suspect_unreachable(self, address: str, now_ms: float) -> bool:
        """Suspect a router that this one cannot reach; return whether this is news."""
        member = self._members.get(address)
        if member is None:
            return False
        entry = member.entry
        suspicion = Suspicion(address, entry.incarnation, entry.heartbeat)
        return self.suspect(suspicion, now_ms)

    def expire(self, now_ms: float) -> list[MemberEntry]:
        """Remove and return the routers without a heartbeat in time."""
        limit_ms: float = FULL_MESH_EXPIRY_MS
        if not self.is_full_mesh:
            limit_ms = EXPIRY_INTERVALS * self.relayed_heartbeat_ms
        expired = [
            member
            for member in self._members.values()
            if now_ms - member.last_seen_ms > limit_ms
            or (
                member.suspected_at_ms is not None
                and now_ms - member.suspected_at_ms > SUSPICION_MS
            )
        ]
        for member in expired:
            self._remove(member, now_ms)
        for address, member in list(self._removed.items()):
            if now_ms - member.last_seen_ms <= REMOVED_RETENTION_MS:
                break
            del self._removed[address]
        return [member.entry for member in expired]

    def updates_after(self, number: int, *, exclude_link: str) -> list[MemberEntry]:
        """Return the entries to send over a link.

        Parameters
        ----------
        number : int
            ``last_update`` at the last call for this link; 0 for a new link.
        exclude_link : str
            The outgoing link. Entries that arrived over it are omitted.
        """
        entries = []
        for address in self._updated.updated_after(number):
            if address == self._own.address:
                entries.append(self._own)
            elif address != exclude_link:
                member = self._members[address]
                if member.source != exclude_link:
                    entries.append(member.entry)
        return entries

    def suspicions_after(self, number: int, *, exclude_link: str) -> list[Suspicion]:
        """Return the suspicions to send over a link.

        Parameters
        ----------
        number : int
            ``last_suspicion`` at the last call for this link; 0 for a new link.
        exclude_link : str
            The outgoing link. Suspicions that arrived over it are omitted.
        """
        suspicions = []
        for address in self._suspected.updated_after(number):
            member = self._members[address]
            if member.source != exclude_link:
                entry = member.entry
                suspicions.append(
                    Suspicion(address, entry.incarnation, entry.heartbeat)
                )
        return suspicions

    def entries(self) -> list[MemberEntry]:
        """Return the entries of all routers, this one first."""
        return [self._own, *(member.entry for member in self._members.values())]

    def peers(self) -> list[MemberEntry]:
        """Return the entries of the other routers."""
        return [member.entry for member in self._members.values()]

    def addresses(self) -> frozenset[str]:
        """Return the addresses of all routers, this one included."""
        if self._addresses is None:
            self._addresses = frozenset({self._own.address, *self._members})
        return self._addresses

    def is_reader(self) -> bool:
        """Return whether this router reads the store.

        Notes
        -----
        The readers are spread over different data centres if there are several, so
        that one remains when a data centre is lost.
        """
        return len(self.readers_before()) < N_READERS

    def is_standby_reader(self) -> bool:
        """Return whether this router is among the first to replace the readers."""
        return len(self.readers_before()) < N_READERS + N_STANDBY_READERS

    def readers_before(self) -> tuple[int, ...]:
        """Return the short hashes of the routers that rank before it as readers."""
        if self._readers_before is None:
            centre_of = {each.address: each.data_centre for each in self.entries()}
            ranked = rank_by_rendezvous("reader", centre_of)
            first_by_centre: dict[str, str] = {}
            for address in ranked:
                first_by_centre.setdefault(centre_of[address], address)
            first = list(first_by_centre.values())
            order = first + [each for each in ranked if each not in first]
            before = order[: order.index(self._own.address)]
            self._readers_before = tuple(short_id(each) for each in before)
        return self._readers_before

    def rank_keepers(self, key: str) -> list[list[str]]:
        """Return the routers that may keep a record for a key.

        Parameters
        ----------
        key : str
            Key of the record.

        Returns
        -------
        list of list of str
            A list for each group of routers, the group of this one first: all routers
            of a small fleet, in a large one the first ones of each group.
        """
        n_keepers = MAX_FULL_MESH if self.is_full_mesh else N_KEEPERS
        groups = self._groups(self.entries())
        return [rank_by_rendezvous(key, each)[:n_keepers] for each in groups]

    def find_told(self, key: str) -> list[str]:
        """Return the routers that are told of a record for a key, without this one.

        Notes
        -----
        In a large fleet these are the first ones of its own group, so that a router
        needs no links to all.
        """
        others = [
            each for each in self.rank_keepers(key)[0] if each != self.own.address
        ]
        return others if self.is_full_mesh else others[:N_TOLD]

    @property
    def n_told(self) -> int:
        """Largest number of routers that a live one has known, this one included."""
        return max(each.n_known for each in self.entries())

    def find_told_since(self, key: str) -> float:
        """Return the time since which this router is told of each record for a key.

        Parameters
        ----------
        key : str
            Key of the record; empty if it is not known.

        Returns
        -------
        float
            Time in milliseconds, as far as this router has lived for so long.

        Notes
        -----
        A router that is among the first of all that have been known lately was among
        the first of those that were known at any time in between.
        """
        group = self._groups(self._known_lately())[0]
        if key and self._own.address in rank_by_rendezvous(key, group)[:N_TOLD]:
            return float("-inf")
        return self._tells_few_at_ms

    def do_all_record_sent(self) -> bool:
        """Return whether no stream can lack a record since its server has no entry.

        Notes
        -----
        Routers of earlier builds are taken to have ended such streams some time after
        they were replaced.
        """
        return all(each.records_sent for each in self._known_lately())

    def _known_lately(self) -> list[MemberEntry]:
        return [*self.entries(), *(each.entry for each in self._removed.values())]

    def _groups(self, entries: Iterable[MemberEntry]) -> list[list[str]]:
        groups: dict[str, list[str]] = {self._group_of(self._own): []}
        for entry in entries:
            groups.setdefault(self._group_of(entry), []).append(entry.address)
        return list(groups.values())

    def _group_of(self, entry: MemberEntry) -> str:
        # Data centres with few routers form one group.
        if self._group_sizes is None:
            self._group_sizes = Counter(each.data_centre for each in self.entries())
        is_small = self._group_sizes[entry.data_centre] < MIN_GROUP
        return "" if self.is_full_mesh or is_small else entry.data_centre

    def accepts_hop(self, proof: str) -> bool:
        """Return whether a request comes from another router.

        Parameters
        ----------
        proof : str
            What the request shows; empty if nothing.

        Notes
        -----
        Routers of earlier builds show nothing. During an upgrade, as long as one is
        known or was known lately, a request without a proof is taken for theirs.
        """
        if proof:
            return compare_digest(proof.encode(), str(self._own.hop_proof).encode())
        lately = [*self._members.values(), *self._removed.values()]
        return any(not each.entry.hop_proof for each in lately)

    def dials_lost(self, address: str) -> bool:
        """Return whether this router is one of those that dial a lost one."""
        if self.is_full_mesh:
            return True
        is_dialler = self._lost_dials.get(address)
        if is_dialler is None:
            ranked = rank_by_rendezvous(f"lost {address}", self.addresses())
            is_dialler = self._own.address in ranked[:N_LOST_DIALLERS]
            self._lost_dials[address] = is_dialler
        return is_dialler

    def wanted_links(self) -> list[str]:
        """Return the addresses of the routers to link to."""
        if self._wanted_links is None:
            self._wanted_links = self._find_wanted_links()
        return self._wanted_links

    def _remove(self, member: _Member, now_ms: float) -> None:
        address = member.entry.address
        del self._members[address]
        self._updated.discard(address)
        self._suspected.discard(address)
        member.last_seen_ms = now_ms
        self._removed[address] = member
        self._reset_cache()

    def _increment_heartbeat(self, now_ms: float) -> None:
        self._heartbeat_at_ms = now_ms
        self._own = evolve(self._own, heartbeat=self._own.heartbeat + 1)
        self._updated.update(self._own.address)

    def _reset_cache(self) -> None:
        self._addresses = None
        self._schedulers = None
        self._readers_before = None
        self._wanted_links = None
        self._lost_dials.clear()
        self._group_sizes = None

    def _find_wanted_links(self) -> list[str]:
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


def _may_change_schedulers(member: _Member | None, entry: MemberEntry) -> bool:
    if member is None or member.suspected_at_ms is not None:
        return True
    old = member.entry
    return (old.slots, old.has_path) != (entry.slots, entry.has_path)


def _assigns(entry: MemberEntry) -> bool:
    return entry.slots >= ASSIGNS_SLOTS
