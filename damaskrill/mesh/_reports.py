"""Reports that routers send each other over links."""

from collections.abc import Callable

from attrs import field, frozen

from damaskrill.feed import NO_DIGEST, Contact, Position
from damaskrill.mesh._frames import Departure, MemberEntry, Update
from damaskrill.mesh._link import Link
from damaskrill.mesh._members import MemberTable
from damaskrill.steering import (
    CrashDetector,
    CrashReport,
    FailureDetector,
    GossipLog,
    HotKeys,
    KeyCounts,
    LoadReport,
    PrefixIndex,
    ServedReport,
    ServerLoads,
    SoundnessReport,
    StatedLimits,
)

__all__ = ["ReportExchange", "has_reports"]

# More servers than leave within some minutes.
MAX_DEPARTURES = 256


@frozen(kw_only=True, eq=False)
class ReportExchange:
    """Collects the reports to send over a link, and applies received ones.

    Parameters
    ----------
    members : MemberTable
        Live routers.
    loads : ServerLoads
        Loads of servers.
    hot_keys : HotKeys
        Request counts of keys.
    prefix_index : PrefixIndex
        Engines that hold prompt parts.
    failures : FailureDetector
        Failures of servers' requests.
    crashes : CrashDetector
        Prompt parts that may crash servers.
    limits : StatedLimits
        Rate limits that servers state.
    brittle : StatedLimits
        Services whose servers are brittle.
    apply_failures : callable
        Handles the short hashes of the servers with new failure reports.
    apply_departure : callable
        Handles a server that has announced that it leaves; returns whether this is new.
    apply_crashes : callable
        Handles new reports of crashes and of served prompt parts.
    apply_answers : callable
        Handles which servers have answered other routers, and how long ago.
    apply_limits : callable
        Handles new rate limits, by short hash of the server.
    report : callable
        Logs an event, given its name and fields.

    Notes
    -----
    In a full mesh each router receives the reports of all others directly, so that none
    is relayed.
    """

    members: MemberTable
    loads: ServerLoads
    hot_keys: HotKeys
    prefix_index: PrefixIndex
    failures: FailureDetector
    crashes: CrashDetector
    limits: StatedLimits
    brittle: StatedLimits
    apply_failures: Callable[[frozenset[int]], None]
    apply_departure: Callable[[Departure], bool]
    apply_crashes: Callable[[], None]
    apply_answers: Callable[[list[tuple[int, float]]], None]
    apply_limits: Callable[[dict[int, float | None]], None]
    report: Callable[..., None]
    _departures: GossipLog[Departure] = field(
        factory=lambda: GossipLog(max_reports=MAX_DEPARTURES), init=False
    )

    def add_departure(self, departure: Departure) -> None:
        """Publish that a server has announced that it leaves."""
        self._departures.add(departure, source="")

    def collect(
        self,
        link: Link,
        now_ms: float,
        *,
        position: Position,
        contact: Contact | None,
        has_entries: bool = False,
        has_loads: bool = False,
        key_counts: KeyCounts | None = None,
        digest: int = NO_DIGEST,
    ) -> Update:
        """Return what a peer has not been sent yet.

        Parameters
        ----------
        link : Link
            The outgoing link.
        now_ms : float
            Current time in milliseconds.
        position : Position
            Position of the replica of the store.
        contact : Contact or None
            Newest contact with the store.
        has_entries : bool, default=False
            Whether to include membership entries. Those of new routers are included in
            any case.
        has_loads : bool, default=False
            Whether to include loads of servers.
        key_counts : KeyCounts or None, default=None
            Request counts of keys to include. They are the same for all links.
        digest : int, default=NO_DIGEST
            Digest of the replica to include.
        """
        cursors, members, address = link.cursors, self.members, link.address
        is_relaying = not members.is_full_mesh
        prefixes, cursors.n_prefixes = self.prefix_index.reports_after(
            cursors.n_prefixes,
            now_ms=now_ms,
            exclude_link=address,
            include_relayed=is_relaying,
        )
        failures, cursors.n_failures = self.failures.reports_after(
            cursors.n_failures,
            now_ms=now_ms,
            exclude_link=address,
            include_relayed=is_relaying,
        )
        crashes, cursors.n_crashes = self.crashes.reports_after(
            cursors.n_crashes,
            now_ms=now_ms,
            exclude_link=address,
            include_relayed=is_relaying,
        )
        limits, cursors.n_limits = self.limits.reports_after(
            cursors.n_limits,
            now_ms=now_ms,
            exclude_link=address,
            include_relayed=is_relaying,
        )
        brittle, cursors.n_brittle = self.brittle.reports_after(
            cursors.n_brittle,
            now_ms=now_ms,
            exclude_link=address,
            include_relayed=is_relaying,
        )
        departures, cursors.n_departures = self._departures.reports_after(
            cursors.n_departures, exclude_link=address, include_relayed=is_relaying
        )
        suspicions = members.suspicions_after(
            cursors.n_suspicions, exclude_link=address
        )
        cursors.n_suspicions = members.last_suspicion
        entries: list[MemberEntry] = []
        if has_entries or members.n_joins != cursors.n_joins:
            entries = members.updates_after(cursors.n_entries, exclude_link=address)
            cursors.n_entries, cursors.n_joins = members.last_update, members.n_joins
            link.entries_sent_ms = now_ms
        loads: list[LoadReport] = []
        if has_loads:
            loads, cursors.n_loads = self.loads.reports_after(
                cursors.n_loads,
                now_ms=now_ms,
                exclude_link=address,
                include_relayed=is_relaying,
            )
        return Update(
            position=position,
            contact=contact,
            entries=tuple(entries),
            suspicions=tuple(suspicions),
            departures=tuple(departures),
            loads=tuple(loads),
            prefixes=tuple(prefixes),
            failures=tuple(failures),
            crashes=tuple(each for each in crashes if isinstance(each, CrashReport)),
            served=tuple(each for each in crashes if isinstance(each, ServedReport)),
            soundness=tuple(
                each for each in crashes if isinstance(each, SoundnessReport)
            ),
            limits=tuple(limits),
            brittle=tuple(brittle),
            key_counts=key_counts,
            digest=digest,
        )

    def apply(self, link: Link, update: Update, now_ms: float) -> None:
        """Apply the reports of a peer."""
        source = link.address
        for entry in update.entries:
            self.members.merge(entry, now_ms, source=source)
        for suspicion in update.suspicions:
            if self.members.suspect(suspicion, now_ms, source=source):
                self.report("router_suspected", peer=suspicion.address, source=source)
        for departure in update.departures:
            if self.apply_departure(departure):
                self._departures.add(departure, source=source)
        self.loads.apply_reports(update.loads, now_ms=now_ms, source=source)
        if update.loads:
            self.apply_answers([(each.load_id, each.age_ms) for each in update.loads])
        self.prefix_index.apply_reports(update.prefixes, now_ms=now_ms, source=source)
        if update.key_counts is not None:
            self.hot_keys.apply_counts(source, update.key_counts, now_ms)
        servers = self.failures.apply_reports(
            update.failures, now_ms=now_ms, source=source
        )
        if servers:
            self.apply_failures(servers)
        reports: list[CrashReport | ServedReport | SoundnessReport]
        reports = [*update.crashes, *update.served, *update.soundness]
        if reports:
            self.crashes.apply_reports(reports, now_ms=now_ms, source=source)
            self.apply_crashes()
        self.brittle.apply_reports(update.brittle, now_ms=now_ms, source=source)
        limits = self.limits.apply_reports(update.limits, now_ms=now_ms, source=source)
        if limits:
            self.apply_limits(limits)


def has_reports(update: Update) -> bool:
    """Return whether an update contains any report that a peer may not have."""
    return bool(
        update.entries
        or update.suspicions
        or update.departures
        or update.loads
        or update.prefixes
        or update.failures
        or update.crashes
        or update.served
        or update.soundness
        or update.limits
        or update.brittle
    )
