"""Frames that routers exchange over links, encoded as CBOR arrays."""

import struct
import zlib
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain, starmap
from typing import Any

import cbor2
from attrs import astuple, frozen

from damaskrill.exceptions import PeerFrameError
from damaskrill.feed import NO_DIGEST, START, Change, Contact, Position
from damaskrill.mesh._messages import (
    Message,
    StreamNotice,
    StreamQuery,
    StreamRecords,
    StreamReply,
    decode_message,
    encode_message,
)
from damaskrill.mesh._slot_messages import SlotBatch
from damaskrill.steering import (
    NO_REQUEST,
    CrashReport,
    FailureReport,
    KeyCounts,
    LimitReport,
    LoadReport,
    PrefixReport,
    ServedReport,
    SoundnessReport,
)

__all__ = [
    "ASKS_FOR_SLOTS",
    "ASSIGNS_SLOTS",
    "NO_SLOTS",
    "Departure",
    "DirectHello",
    "FeedRequest",
    "FeedUpdate",
    "Frame",
    "Goodbye",
    "Hello",
    "MemberEntry",
    "SentFrame",
    "Suspicion",
    "UnknownFrame",
    "Update",
    "decode",
    "encode",
]

# Oldest version of the protocol that routers of this build understand, which is the one
# that they send. Later ones only append fields to a frame, or add kinds of frames: what
# a router does not know it ignores, and what a peer does not send has a default.
PROTOCOL_VERSION = 6
# Kinds of frames in which a field may be invalid.
KNOWN_KINDS = frozenset("zhdurgfsqabk")
# Reports of a frame that a peer does not send.
NO_REPORTS: tuple[Any, ...] = (
    *([], [], [], b"", b"", b"", [], b"", b"", b"", None),
    NO_DIGEST,
    b"",
    b"",
)
# Larger frames are compressed: a configuration with many routes shrinks tenfold.
MIN_COMPRESSED_BYTES = 1_500
MAX_FRAME_BYTES = 64_000_000
# Unsigned 32-bit numbers in a report of a load, a prefix or a limit, in one of
# failures, in one of a served part, in one of a server's speed, in one of a crash
# before those of the parts, and in one of a part's soundness.
N_REPORT_NUMBERS = 3
N_FAILURE_NUMBERS = 7
N_SERVED_NUMBERS = 4
N_SPEED_NUMBERS = 3
N_CRASH_NUMBERS = 6
N_SOUNDNESS_NUMBERS = 2
NUMBER_BYTES = 4
MAX_UINT32 = 0xFFFF_FFFF
PERCENT = 100
# What a router says of slots in its entry.
NO_SLOTS = 0
ASKS_FOR_SLOTS = 1
ASSIGNS_SLOTS = 2


@frozen
class MemberEntry:
    """Membership entry of a router.

    Parameters
    ----------
    address : str
        Address at which other routers reach it.
    incarnation : int
        Start of its process in Unix milliseconds.
    data_centre : str
        Data centre that it runs in.
    heartbeat : int
        Counter that it increments while it is alive.
    caller_port : int
        Port for callers, on the same host as the address; 0 if unknown.
    has_path : bool
        Whether it can reach the backend servers; false also while it stops, so that no
        requests go through it.
    keeps_grants : bool
        Whether requests of other routers reach no more servers there than these grant.
        Routers of earlier builds do not say so, nor pass it on.
    tells_all : bool
        Whether it tells all routers of a small fleet which streams it begins. Routers
        of earlier builds tell a few, and do not say so.
    hop_proof : int
        Number that a request which comes from another router has to carry; 0 for a
        router of an earlier build, which takes any.
    slots : int
        0 for a router of an earlier build, which does not say so, nor pass it on;
        `ASKS_FOR_SLOTS` for one that asks for slots; `ASSIGNS_SLOTS` for one that may
        also be asked, which one that stops may not.
    n_known : int
        Largest number of routers that it has known to be alive at a time; 0 for a
        router of an earlier build, which does not say so, nor pass it on.
    records_sent : bool
        Whether it records the version of a stream when it sends the request. Routers of
        earlier builds do so with the first event, and not at all if the server has no
        entry any more; they do not say so, nor pass it on.
    """

    address: str
    incarnation: int
    data_centre: str
    heartbeat: int
    caller_port: int = 0
    has_path: bool = True
    keeps_grants: bool = False
    tells_all: bool = False
    hop_proof: int = 0
    slots: int = NO_SLOTS
    n_known: int = 0
    records_sent: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and heartbeat, of which a newer entry has higher ones."""
        return (self.incarnation, self.heartbeat)


@frozen(kw_only=True)
class Hello:
    """First frame from both ends of a link."""

    entry: MemberEntry


@frozen(kw_only=True)
class DirectHello:
    """First frame from the router that opens a link for messages only.

    Parameters
    ----------
    address : str
        Address at which other routers reach it.
    """

    address: str


@frozen
class Suspicion:
    """Suspicion that a router is dead.

    Parameters
    ----------
    address : str
        Address of the router.
    incarnation, heartbeat : int
        Its newest entry that the suspicion refers to; a newer one refutes it.
    """

    address: str
    incarnation: int
    heartbeat: int


@frozen
class Departure:
    """Incarnation of a backend server that has announced that it leaves.

    Parameters
    ----------
    server_id : str
        ID of the server.
    started_at_ms : int
        Start time of the process in Unix milliseconds.
    """

    server_id: str
    started_at_ms: int


@frozen(kw_only=True)
class Update:
    """Frame with what has changed since the last one on the link.

    Parameters
    ----------
    position : Position
        Position in the store's history up to which the sender's replica is complete.
    contact : Contact or None
        Newest contact with the store that the sender knows; None if there is none.
    entries : tuple of MemberEntry
        Membership entries that have changed.
    suspicions : tuple of Suspicion
        Routers that have been suspected.
    departures : tuple of Departure
        Servers that have announced that they leave.
    loads : tuple of LoadReport
        Loads that servers have reported.
    prefixes : tuple of PrefixReport
        Prompt parts that engines have processed.
    failures : tuple of FailureReport
        Servers whose requests have failed.
    crashes : tuple of CrashReport
        Answers that servers broke off shortly after their beginning.
    served : tuple of ServedReport
        Prompt parts in such reports that were served.
    soundness : tuple of SoundnessReport
        How often prompt parts in such reports were served.
    limits : tuple of LimitReport
        Rate limits that servers have stated.
    brittle : tuple of LimitReport
        Services whose servers are brittle.
    key_counts : KeyCounts or None
        The sender's recent requests; None if they are not part of the frame.
    digest : int
        Digest of the sender's replica at its position; `NO_DIGEST` if it is not part of
        the frame.
    """

    position: Position = START
    contact: Contact | None = None
    entries: tuple[MemberEntry, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    departures: tuple[Departure, ...] = ()
    loads: tuple[LoadReport, ...] = ()
    prefixes: tuple[PrefixReport, ...] = ()
    failures: tuple[FailureReport, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    served: tuple[ServedReport, ...] = ()
    soundness: tuple[SoundnessReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    brittle: tuple[LimitReport, ...] = ()
    key_counts: KeyCounts | None = None
    digest: int = NO_DIGEST


@frozen(kw_only=True)
class Goodbye:
    """Frame before the sender closes a link that it does not need."""


@frozen(kw_only=True)
class UnknownFrame:
    """Frame of a kind that a later build has added; it is ignored.

    Parameters
    ----------
    kind : str
        Kind of the frame.
    """

    kind: str


@frozen(kw_only=True)
class FeedUpdate:
    """Frame with changes of the store.

    Parameters
    ----------
    after : int
        Revision that the changes follow; 0 for a full replica.
    position : Position
        Position up to which the replica is complete with the changes.
    changes : tuple of Change
        The changes, or all items of a full replica.
    superseded : tuple of Change
        Items that the store lost when it was restored, which the sender retains.
    """

    after: int
    position: Position
    changes: tuple[Change, ...] = ()
    superseded: tuple[Change, ...] = ()


@frozen(kw_only=True)
class FeedRequest:
    """Frame that asks for the changes after a position.

    Parameters
    ----------
    position : Position
        Position up to which the sender's replica is complete.
    """

    position: Position


SentFrame = Hello | DirectHello | Update | FeedUpdate | FeedRequest | Goodbye | Message
Frame = SentFrame | UnknownFrame


def encode(frame: SentFrame) -> bytes:
    """Encode a frame."""
    match frame:
        case Hello():
            content: list[Any] = ["h", PROTOCOL_VERSION, *astuple(frame.entry)]
        case DirectHello():
            content = ["d", PROTOCOL_VERSION, frame.address]
        case (
            StreamNotice()
            | StreamQuery()
            | StreamReply()
            | StreamRecords()
            | SlotBatch()
        ):
            content = encode_message(frame)
        case Update():
            at = frame.position
            contact = frame.contact and list(astuple(frame.contact))
            content = ["u", at.era, at.revision, contact, *_encode_reports(frame)]
        case FeedRequest(position=at):
            content = ["r", at.era, at.revision]
        case Goodbye():
            content = ["g"]
        case FeedUpdate(position=at):
            content = ["f", at.era, frame.after, at.revision]
            content += [_encode_changes(frame.changes)]
            content += [_encode_changes(frame.superseded)]
    data = cbor2.dumps(content)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return cbor2.dumps(["z", zlib.compress(data, 1)])


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    PeerFrameError
        If the data is not a valid frame.
    """
    try:
        return _decode(data)
    except (cbor2.CBORError, zlib.error, ValueError, TypeError, IndexError) as error:
        raise PeerFrameError(reason=f"{type(error).__name__}: {error}") from error


def _decode(data: bytes) -> Frame:
    match cbor2.loads(data):
        case ["z", bytes(packed), *_]:
            unpacker = zlib.decompressobj()
            return _decode(unpacker.decompress(packed, MAX_FRAME_BYTES))
        case ["h", version, *fields]:
            _check_protocol(version)
            return Hello(entry=_to_entry(fields))
        case ["d", version, str(address), *_]:
            _check_protocol(version)
            return DirectHello(address=address)
        case ["u", int(era), int(revision), contact, *reports]:
            return _to_update(Position(era, revision), _to_contact(contact), reports)
        case ["r", int(era), int(revision), *_]:
            return FeedRequest(position=Position(era, revision))
        case ["g", *_]:
            return Goodbye()
        case ["f", int(era), int(after), int(revision), list(changes), list(lost), *_]:
            return FeedUpdate(
                after=after,
                position=Position(era, revision),
                changes=tuple(_to_change(each) for each in changes),
                superseded=tuple(_to_change(each) for each in lost),
            )
        case [str(kind), *_] if kind not in KNOWN_KINDS:
            return UnknownFrame(kind=kind)
        case content:
            return decode_message(content)


def _check_protocol(version: Any) -> None:
    if type(version) is not int or version < PROTOCOL_VERSION:
        raise ValueError("the peer uses another version of the protocol")


def _encode_reports(update: Update) -> list[Any]:
    counts = update.key_counts
    return [
        [list(astuple(each)) for each in update.entries],
        [[s.address, s.incarnation, s.heartbeat] for s in update.suspicions],
        [[d.server_id, d.started_at_ms] for d in update.departures],
        _pack((each.load_id, each.n_requests, each.age_ms) for each in update.loads),
        _pack((each.part, each.engine, each.age_ms) for each in update.prefixes),
        _pack(astuple(each) for each in update.failures),
        [_pack([(*astuple(each)[:-1], *each.parts)]) for each in update.crashes],
        _pack(astuple(each) for each in update.served),
        _pack(astuple(each) for each in update.limits),
        _pack(astuple(each) for each in update.brittle),
        None
        if counts is None
        else [counts.n_requests, [list(each) for each in counts.by_key.items()]],
        update.digest,
        _pack(
            (each.load_id, each.n_slots, round(each.slowness * PERCENT))
            for each in update.loads
            if each.slowness is not None
        ),
        _pack(astuple(each) for each in update.soundness),
    ]


def _to_update(
    position: Position, contact: Contact | None, reports: Sequence[Any]
) -> Update:
    n_known = len(NO_REPORTS)
    match [*reports[:n_known], *NO_REPORTS[len(reports) :]]:
        case [
            list(entries),
            list(suspicions),
            list(departures),
            bytes(loads),
            bytes(prefixes),
            bytes(failures),
            list(crashes),
            bytes(served),
            bytes(limits),
            bytes(brittle),
            [float(), list(), *_] | None as counts,
            int(digest),
            bytes(speeds),
            bytes(soundness),
        ]:
            return Update(
                position=position,
                contact=contact,
                entries=tuple(_to_entry(each) for each in entries),
                suspicions=tuple(_to_suspicion(each) for each in suspicions),
                departures=tuple(_to_departure(each) for each in departures),
                loads=_to_loads(loads, speeds),
                prefixes=tuple(
                    starmap(PrefixReport, _unpack(prefixes, N_REPORT_NUMBERS))
                ),
                failures=tuple(
                    starmap(FailureReport, _unpack(failures, N_FAILURE_NUMBERS))
                ),
                crashes=tuple(_to_crash(each) for each in crashes),
                served=tuple(starmap(ServedReport, _unpack(served, N_SERVED_NUMBERS))),
                soundness=tuple(
                    starmap(SoundnessReport, _unpack(soundness, N_SOUNDNESS_NUMBERS))
                ),
                limits=tuple(starmap(LimitReport, _unpack(limits, N_REPORT_NUMBERS))),
                brittle=tuple(starmap(LimitReport, _unpack(brittle, N_REPORT_NUMBERS))),
                key_counts=_to_key_counts(counts),
                digest=digest,
            )
        case _:
            raise ValueError("invalid reports")


def _to_contact(fields: Any) -> Contact | None:
    match fields:
        case None:
            return None
        case [int(origin), int(number), int(age_ms), *_]:
            return Contact(origin, number, age_ms)
        case _:
            raise ValueError("invalid contact")


def _to_suspicion(fields: Any) -> Suspicion:
    match fields:
        case [str(address), int(incarnation), int(heartbeat), *_]:
            return Suspicion(address, incarnation, heartbeat)
        case _:
            raise ValueError("invalid suspicion")


def _to_departure(fields: Any) -> Departure:
    match fields:
        case [str(server_id), int(started_at_ms), *_]:
            return Departure(server_id, started_at_ms)
        case _:
            raise ValueError("invalid departure")


def _to_crash(data: Any) -> CrashReport:
    numbers = [number for (number,) in _unpack(data, 1)]
    if len(numbers) < N_CRASH_NUMBERS:
        raise ValueError("incomplete report of a crash")
    server, router, number, age_ms, waited_ms, request, *parts = numbers
    if request == NO_REQUEST and not parts:
        raise ValueError("report of a crash without a suspect")
    return CrashReport(server, router, number, age_ms, waited_ms, request, tuple(parts))


def _to_loads(loads: bytes, speeds: bytes) -> tuple[LoadReport, ...]:
    # What builds before this one do not tell, or read, stands in a field of its own.
    stated = {
        load_id: (n_slots, percent / PERCENT)
        for load_id, n_slots, percent in _unpack(speeds, N_SPEED_NUMBERS)
    }
    return tuple(
        LoadReport(load_id, n_requests, age_ms, *stated.get(load_id, (0, None)))
        for load_id, n_requests, age_ms in _unpack(loads, N_REPORT_NUMBERS)
    )


def _to_key_counts(fields: Any) -> KeyCounts | None:
    if fields is None:
        return None
    n_requests, counts, *_ = fields
    return KeyCounts(n_requests, dict(_to_count(each) for each in counts))


def _to_entry(fields: Any) -> MemberEntry:
    match list(fields):
        case [
            str(address),
            int(incarnation),
            str(data_centre),
            int(heartbeat),
            int(caller_port),
            bool(has_path),
            *later,
        ]:
            return MemberEntry(
                address,
                incarnation,
                data_centre,
                heartbeat,
                caller_port,
                has_path,
                later[:1] == [True],
                later[1:2] == [True],
                later[2] if len(later) > 2 and type(later[2]) is int else 0,
                later[3] if len(later) > 3 and type(later[3]) is int else 0,
                later[4] if len(later) > 4 and type(later[4]) is int else 0,
                later[5:6] == [True],
            )
        case _:
            raise ValueError("invalid membership entry")


def _pack(rows: Iterable[tuple[int, ...]]) -> bytes:
    # Most of the traffic between routers: packed numbers take a tenth of the time that
    # arrays of CBOR integers take.
    numbers = list(chain.from_iterable(rows))
    try:
        return struct.pack(f"<{len(numbers)}I", *numbers)
    except struct.error:
        # A server may report any number as its load.
        bounded = [max(0, min(number, MAX_UINT32)) for number in numbers]
        return struct.pack(f"<{len(bounded)}I", *bounded)


def _unpack(data: bytes, n_numbers: int) -> Iterator[tuple[int, ...]]:
    if len(data) % (n_numbers * NUMBER_BYTES):
        raise ValueError("length of packed numbers is not a multiple of the row size")
    return struct.iter_unpack(f"<{n_numbers}I", data)


def _to_count(fields: Any) -> tuple[int, float]:
    match list(fields):
        case [int(key), float(count)]:
            return (key, count)
        case _:
            raise ValueError("invalid count of a key")


def _encode_changes(changes: Iterable[Change]) -> list[Any]:
    return [[each.key, each.value, each.revision] for each in changes]


def _to_change(fields: Any) -> Change:
    match list(fields):
        case [str(key), bytes() | None as value, int(revision), *_]:
            return Change(key=key, value=value, revision=revision)
        case _:
            raise ValueError("invalid change of the store")
