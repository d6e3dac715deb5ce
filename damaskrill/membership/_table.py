"""Membership state of the other routers, as seen by one router."""

from collections.abc import Iterable, Iterator

import attrs

from damaskrill.messages import HostEntry, Member, MemberNews, MemberState

__all__ = ["PeerEntry", "PeerTable"]

MAX_RETIRED_INCARNATIONS = 8
REMOVE_AFTER_MS = 60_000

SEVERITY = {
    MemberState.UNVERIFIED: 0,
    MemberState.ALIVE: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
    MemberState.LEFT: 4,
}


@attrs.define(kw_only=True)
class PeerEntry:
    """State of one address and of the process that is assumed to run there.

    Parameters
    ----------
    address, data_centre, incarnation : str
        The process; its incarnation is empty until it is discovered.
    state : MemberState
        State of the process.
    number : int
        Highest refutation number that the process has announced.
    since_ms : int
        Time at which it entered that state, in milliseconds.
    listed, leaving : bool
        Whether the host list names the address, and whether as leaving.
    retired : list of str
        Incarnations of earlier processes at the address, which cannot return.
    """

    address: str
    data_centre: str
    incarnation: str = ""
    state: MemberState = MemberState.UNVERIFIED
    number: int = 0
    since_ms: int = 0
    listed: bool = False
    leaving: bool = False
    retired: list[str] = attrs.field(factory=list)

    @property
    def member(self) -> Member:
        """Process as a member."""
        return Member(
            address=self.address,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
        )

    @property
    def update(self) -> MemberNews:
        """Membership update that describes the entry."""
        return MemberNews(
            address=self.address,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
            state=self.state,
            number=self.number,
        )

    @property
    def is_member(self) -> bool:
        """Whether the process may own backend servers."""
        return not self.leaving and self.state not in (
            MemberState.DEAD,
            MemberState.LEFT,
        )

    @property
    def is_in_fleet(self) -> bool:
        """Whether the entry counts towards the fleet's size, reachable or not."""
        if self.leaving or self.state is MemberState.LEFT:
            return False
        return self.listed or self.state is not MemberState.DEAD


class PeerTable:
    """Entries of all other routers by address.

    Parameters
    ----------
    own : Member
        This process.
    """

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._entries: dict[str, PeerEntry] = {}
        self._n_changes = 0

    @property
    def n_changes(self) -> int:
        """Number of changes so far; a view is outdated if this has increased."""
        return self._n_changes

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[PeerEntry]:
        return iter(list(self._entries.values()))

    def get(self, address: str) -> PeerEntry | None:
        """Return the entry of an address, if there is one."""
        return self._entries.get(address)

    def apply_host_list(self, hosts: Iterable[HostEntry], now_ms: int) -> None:
        """Apply the host list, which names addresses but no processes."""
        listed = {each.address: each for each in hosts if each.role == "router"}
        listed.pop(self._own.address, None)
        for address, host in listed.items():
            entry = self._entries.get(address)
            if entry is None:
                entry = PeerEntry(
                    address=address, data_centre=host.data_centre, since_ms=now_ms
                )
                self._entries[address] = entry
            self._set_listed(entry, listed=True, leaving=host.leaving)
        for address, entry in list(self._entries.items()):
            if address not in listed:
                self._set_listed(entry, listed=False, leaving=False)
                self._remove_if_stale(entry, now_ms)

    def record_contact(self, peer: Member, now_ms: int) -> MemberNews | None:
        """Record direct contact with a process.

        Returns
        -------
        MemberNews or None
            Update to gossip if anything changed.
        """
        if peer.address == self._own.address or not peer.incarnation:
            return None
        entry = self._entries.get(peer.address)
        if entry is None:
            entry = PeerEntry(address=peer.address, data_centre=peer.data_centre)
            self._entries[peer.address] = entry
        if peer.incarnation in entry.retired:
            return None
        if entry.incarnation != peer.incarnation:
            self._replace(entry, peer.incarnation)
        elif entry.state in (MemberState.ALIVE, MemberState.LEFT):
            return None
        entry.data_centre = peer.data_centre
        self._set_state(entry, MemberState.ALIVE, now_ms)
        return entry.update

    def apply_update(self, update: MemberNews, now_ms: int) -> bool:
        """Apply a relayed update; return whether it was new.

        Notes
        -----
        Processes at one address have no order, so an update about another process is
        accepted only if the known one is not considered alive.
        """
        entry = self._entries.get(update.address)
        if entry is None:
            if update.state in (MemberState.DEAD, MemberState.LEFT):
                return False
            entry = PeerEntry(address=update.address, data_centre=update.data_centre)
            self._entries[update.address] = entry
        if not update.incarnation or update.incarnation in entry.retired:
            return False
        if entry.incarnation != update.incarnation:
            if entry.incarnation and entry.state is MemberState.ALIVE:
                return False
            self._replace(entry, update.incarnation)
        elif not self._is_newer(update, entry):
            return False
        entry.number = update.number
        entry.data_centre = update.data_centre
        self._set_state(entry, update.state, now_ms)
        return True

    def suspect(self, address: str, now_ms: int) -> MemberNews | None:
        """Mark a router that has not answered as suspect; return the update."""
        entry = self._entries.get(address)
        if entry is None or entry.state not in (
            MemberState.ALIVE,
            MemberState.UNVERIFIED,
        ):
            return None
        self._set_state(entry, MemberState.SUSPECT, now_ms)
        return entry.update

    def expire_suspects(self, timeout_ms: int, now_ms: int) -> list[MemberNews]:
        """Declare routers dead that have been suspected for too long."""
        updates = []
        for entry in self._entries.values():
            overdue = now_ms - entry.since_ms >= timeout_ms
            if entry.state is MemberState.SUSPECT and overdue:
                self._set_state(entry, MemberState.DEAD, now_ms)
                updates.append(entry.update)
        return updates

    def mark_unverified(self, now_ms: int) -> None:
        """Mark live and suspected routers as unverified until found alive again."""
        for entry in self._entries.values():
            if entry.state in (MemberState.ALIVE, MemberState.SUSPECT):
                self._set_state(entry, MemberState.UNVERIFIED, now_ms)

    def _set_listed(self, entry: PeerEntry, *, listed: bool, leaving: bool) -> None:
        if (entry.listed, entry.leaving) != (listed, leaving):
            entry.listed = listed
            entry.leaving = leaving
            self._n_changes += 1

    def _is_newer(self, update: MemberNews, entry: PeerEntry) -> bool:
        if entry.state is MemberState.LEFT:
            return False
        if update.state is MemberState.LEFT:
            return True
        if update.number != entry.number:
            return update.number > entry.number
        return SEVERITY[update.state] > SEVERITY[entry.state]

    def _replace(self, entry: PeerEntry, incarnation: str) -> None:
        if entry.incarnation:
            entry.retired.append(entry.incarnation)
            del entry.retired[:-MAX_RETIRED_INCARNATIONS]
        entry.incarnation = incarnation
        entry.number = 0
        self._n_changes += 1

    def _set_state(self, entry: PeerEntry, state: MemberState, now_ms: int) -> None:
        if entry.state is not state:
            entry.state = state
            entry.since_ms = now_ms
            self._n_changes += 1

    def _remove_if_stale(self, entry: PeerEntry, now_ms: int) -> None:
        is_stale = entry.state not in (MemberState.ALIVE, MemberState.SUSPECT)
        if is_stale and now_ms - entry.since_ms > REMOVE_AFTER_MS:
            del self._entries[entry.address]
            self._n_changes += 1
