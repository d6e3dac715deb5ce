"""Decider that distributes the highest valid text version to every router."""

from collections import Counter
from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.configuration import InvalidConfigurationError
from damaskrill.kernel._registry import registry
from damaskrill.messages import (
    EventName,
    FleetView,
    FleetViewChanged,
    LoggedEvent,
    Member,
    Message,
    PeerDelivered,
    Probe,
    ProbeAnswer,
    ProcessPaused,
    SendToPeer,
    TextAccepted,
    TextAnnounced,
    TextAsked,
    TextDelta,
    TextHeld,
    TextPiece,
    TextPieceAsked,
    TextRead,
    TextReadFailed,
    TextRefused,
    Tick,
)
from damaskrill.propagation._chunks import (
    ChunkCollector,
    CompressedText,
    compress_sections,
    decompress_sections,
)
from damaskrill.propagation._readers import ReaderRole, ReadSchedule, RoleCache
from damaskrill.propagation._store import TextStore
from damaskrill.propagation._trees import push_targets
from damaskrill.utils import check_random_state

__all__ = ["TextPropagation"]

# A version reported by a probe is usually already being pushed to this router.
PULL_DELAY_MS = 300
PULL_TIMEOUT_MS = 1_000
CHUNK_TIMEOUT_MS = 10_000
# Deltas cover this many versions, so that a router that missed one push can apply the
# next one.
N_DELTA_VERSIONS = 2
MAX_DELTA_BYTES = 16_384
COMPRESSED_LIFETIME_MS = 30_000
STATUS_INTERVAL_MS = 60_000
JOIN_DELAY_MS = 2_000


@registry.register("decider", "configuration")
class TextPropagation(BaseDecider):
    """Decider that reads texts while it is a reader, and exchanges them with peers.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of the read jitter.
    """

    handles = (
        FleetViewChanged,
        TextRead,
        TextReadFailed,
        TextDelta,
        TextAnnounced,
        TextAsked,
        TextPieceAsked,
        TextPiece,
        Probe,
        ProbeAnswer,
        ProcessPaused,
        Tick,
    )

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._view: FleetView | None = None
        self._store = TextStore()
        self._schedule = ReadSchedule(random_state=check_random_state(random_state))
        self._role_cache = RoleCache()
        self._started_at_ms: int | None = None
        self._refused_version = 0
        self._peer_versions: dict[str, int] = {}
        self._behind_since_ms: int | None = None
        self._pulled_at_ms = -PULL_TIMEOUT_MS
        self._collector: ChunkCollector | None = None
        self._compressed: CompressedText | None = None
        self._compressed_at_ms = 0
        self._next_status_ms = STATUS_INTERVAL_MS

    @property
    def version(self) -> int:
        """Version of the active text; 0 if there is none."""
        return self._store.version

    @property
    def status_line(self) -> str:
        """Summary of the text versions of this router and of its peers."""
        counts = Counter(self._peer_versions.values())
        parts = [
            f"version {version} on {n}" for version, n in sorted(counts.items())[::-1]
        ]
        others = ", ".join(parts) or "no other router known"
        behind = sorted(
            address
            for address, version in self._peer_versions.items()
            if version < self._store.version
        )
        line = f"text version {self._store.version} here; {others}"
        return f"{line}; behind: {' '.join(behind)}" if behind else line

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case Tick():
                return self._handle_tick(now_ms)
            case PeerDelivered(sender=sender, payload=payload):
                return self._handle_payload(payload, sender, now_ms)
            case FleetViewChanged(view=view):
                self._apply_view(view)
            case TextRead():
                return self._handle_text(message, now_ms)
            case TextReadFailed():
                self._schedule.record_failure(now_ms)
            case ProcessPaused():
                # The text may have changed during the pause, so the first newer version
                # that a peer reports is pulled without delay.
                self._behind_since_ms = now_ms - PULL_DELAY_MS
        return ()

    def _handle_payload(
        self, payload: Message, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        match payload:
            case Probe(text_version=version) | ProbeAnswer(text_version=version):
                self._peer_versions[sender.address] = version
                return self._check_peer_versions(now_ms)
            case TextAnnounced(version=version):
                self._peer_versions[sender.address] = version
                if version <= self._processed_version:
                    return ()
                return self._pull_from(sender.address, now_ms)
            case TextDelta():
                return self._handle_delta(payload, sender, now_ms)
            case TextAsked(version=version):
                return self._answer_pull(version, sender, now_ms)
            case TextPieceAsked():
                return self._send_chunk(payload, sender)
            case TextPiece():
                return self._handle_chunk(payload, sender, now_ms)
        return ()

    def _apply_view(self, view: FleetView) -> None:
        self._view = view
        present = {each.address for each in view.members}
        self._peer_versions = {
            address: version
            for address, version in self._peer_versions.items()
            if address in present
        }

    @property
    def _processed_version(self) -> int:
        """Highest version that need not be read, including refused versions."""
        return max(self._store.version, self._refused_version)

    # The configuration service

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        results: list[Message] = []
        if self._view is not None:
            role = self._find_role(self._view, now_ms)
            read = self._schedule.next_read(role, self._processed_version, now_ms)
            if read is not None:
                results.append(read)
        results.extend(self._pull_if_behind(now_ms))
        if now_ms >= self._next_status_ms:
            self._next_status_ms = now_ms + STATUS_INTERVAL_MS
            results.append(self._status_event())
        if (
            self._compressed
            and now_ms - self._compressed_at_ms > COMPRESSED_LIFETIME_MS
        ):
            self._compressed = None
        return results

    def _find_role(self, view: FleetView, now_ms: int) -> str:
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        if now_ms - self._started_at_ms < JOIN_DELAY_MS:
            # A router that has not discovered its peers would select itself as the
            # only reader.
            return ReaderRole.NONE
        return self._role_cache.find(view, now_ms)

    def _status_event(self) -> LoggedEvent:
        return LoggedEvent(
            name=EventName.TEXT_STATUS,
            text_version=self._store.version,
            detail=self.status_line,
        )

    def _handle_text(self, read: TextRead, now_ms: int) -> Sequence[Message]:
        is_new = read.version > self._processed_version
        self._schedule.record_text(now_ms, is_new=is_new)
        if not is_new:
            return ()
        try:
            self._store.apply_full_text(read.content, read.version)
        except InvalidConfigurationError as error:
            return self._refuse(read.version, error)
        return self._accept(now_ms, is_source=True)

    def _refuse(
        self, version: int, error: InvalidConfigurationError
    ) -> Sequence[Message]:
        self._refused_version = version
        faults = tuple(each.describe("text") for each in error.faults)
        event = LoggedEvent(
            name=EventName.TEXT_REFUSED, text_version=version, detail="; ".join(faults)
        )
        return (TextRefused(version=version, faults=faults), event)

    def _accept(self, now_ms: int, *, is_source: bool) -> Sequence[Message]:
        store = self._store
        self._behind_since_ms = None
        self._collector = None
        event = LoggedEvent(name=EventName.TEXT_ACCEPTED, text_version=store.version)
        return [
            TextAccepted(text=store.text),
            TextHeld(version=store.version, digest=store.digest),
            event,
            *self._push(is_source=is_source),
            *self._check_peer_versions(now_ms),
        ]

    # Pushing

    def _push(self, *, is_source: bool) -> list[Message]:
        if self._view is None:
            return []
        targets = push_targets(
            self._store.version, self._own, self._view.members, is_source=is_source
        )
        if not targets:
            return []
        payload = self._changes_since(max(0, self._store.version - N_DELTA_VERSIONS))
        return [SendToPeer(address=each, payload=payload) for each in targets]

    def _changes_since(self, version: int) -> TextDelta | TextAnnounced:
        if self._store.has_history_since(version):
            delta = self._store.delta_since(version)
            if sum(len(each.content) for each in delta.sections) <= MAX_DELTA_BYTES:
                return delta
        return TextAnnounced(version=self._store.version)

    def _handle_delta(
        self, delta: TextDelta, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        if delta.version <= self._processed_version:
            return ()
        if delta.base_version > self._store.version:
            return self._pull_from(sender.address, now_ms)
        try:
            if not self._store.apply_delta(delta):
                return self._request_chunk(sender.address, 0, 0, now_ms)
        except InvalidConfigurationError as error:
            return self._refuse(delta.version, error)
        return self._accept(now_ms, is_source=False)

    # Pulling

    def _check_peer_versions(self, now_ms: int) -> Sequence[Message]:
        if max(self._peer_versions.values(), default=0) <= self._processed_version:
            self._behind_since_ms = None
            return ()
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        return self._pull_if_behind(now_ms)

    def _pull_if_behind(self, now_ms: int) -> Sequence[Message]:
        since_ms = self._behind_since_ms
        if since_ms is None or now_ms - since_ms < PULL_DELAY_MS:
            return ()
        # Chunks of a full text may be delayed by the sender's control budget.
        timeout_ms = CHUNK_TIMEOUT_MS if self._collector else PULL_TIMEOUT_MS
        if now_ms - self._pulled_at_ms < timeout_ms:
            return ()
        newest = max(self._peer_versions.values(), default=0)
        if newest <= self._processed_version:
            return ()
        sources = sorted(
            address
            for address, version in self._peer_versions.items()
            if version == newest
        )
        return self._pull_from(sources[now_ms % len(sources)], now_ms)

    def _pull_from(self, address: str, now_ms: int) -> Sequence[Message]:
        self._pulled_at_ms = now_ms
        request = TextAsked(version=self._store.version)
        return (SendToPeer(address=address, payload=request),)

    def _answer_pull(
        self, version: int, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        if version >= self._store.version:
            return ()
        changes = self._changes_since(version)
        if isinstance(changes, TextDelta):
            return (SendToPeer(address=sender.address, payload=changes),)
        chunk = self._compress(now_ms).chunk(0)
        return (SendToPeer(address=sender.address, payload=chunk),)

    def _compress(self, now_ms: int) -> CompressedText:
        if self._compressed is None:
            self._compressed = compress_sections(
                self._store.sections(), self._store.version
            )
            self._compressed_at_ms = now_ms
        return self._compressed

    def _request_chunk(
        self, address: str, version: int, number: int, now_ms: int
    ) -> Sequence[Message]:
        self._pulled_at_ms = now_ms
        request = TextPieceAsked(version=version, number=number)
        return (SendToPeer(address=address, payload=request),)

    def _send_chunk(self, request: TextPieceAsked, sender: Member) -> Sequence[Message]:
        compressed = self._compressed
        if request.number == 0 and self._store.version:
            compressed = compress_sections(self._store.sections(), self._store.version)
            self._compressed = compressed
        if compressed is None or request.version not in (0, compressed.version):
            return ()
        if not 0 <= request.number < len(compressed.chunks):
            return ()
        chunk = compressed.chunk(request.number)
        return (SendToPeer(address=sender.address, payload=chunk),)

    def _handle_chunk(
        self, chunk: TextPiece, sender: Member, now_ms: int
    ) -> Sequence[Message]:
        if chunk.version <= self._processed_version:
            return ()
        collector = self._collector
        if collector is None or collector.address != sender.address:
            if chunk.number:
                return ()
            collector = ChunkCollector(address=sender.address)
            self._collector = collector
        compressed = collector.add(chunk)
        if compressed is None:
            number = collector.next_number
            return self._request_chunk(sender.address, chunk.version, number, now_ms)
        sections = decompress_sections(compressed)
        self._collector = None
        if sections is None:
            return ()
        try:
            self._store.replace_sections(sections, chunk.version)
        except InvalidConfigurationError as error:
            return self._refuse(chunk.version, error)
        return self._accept(now_ms, is_source=False)
