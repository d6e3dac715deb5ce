"""Frames that routers exchange over links, encoded as CBOR arrays."""

import struct
import zlib
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain, starmap
from typing import Any

import cbor2
from attrs import astuple, frozen

from damaskrill.exceptions import PeerFrameError
from damaskrill.feed import Change
from damaskrill.steering import FailureReport, LoadReport, PrefixReport

__all__ = [
    "FeedUpdate",
    "Frame",
    "Gossip",
    "Heartbeat",
    "Hello",
    "MemberEntry",
    "decode",
    "encode",
]

# Larger frames are compressed: a configuration with many routes shrinks tenfold.
MIN_COMPRESSED_BYTES = 1_500
MAX_FRAME_BYTES = 64_000_000
# Unsigned 32-bit numbers in a report of a load or a prefix, and in one of failures.
N_REPORT_NUMBERS = 3
N_FAILURE_NUMBERS = 7
NUMBER_BYTES = 4
MAX_UINT32 = 0xFFFF_FFFF


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
    """

    address: str
    incarnation: int
    data_centre: str
    heartbeat: int


@frozen(kw_only=True)
class Hello:
    """First frame from both ends of a link."""

    entry: MemberEntry


@frozen(kw_only=True)
class Heartbeat:
    """Frame that is sent periodically on each link.

    Parameters
    ----------
    revision : int
        Revision up to which the sender's replica is complete.
    age_ms : int
        Time since the fleet's last contact with the store that is known to the
        sender, in milliseconds; negative if there is none.
    entries : tuple of MemberEntry
        Membership entries that have changed.
    loads : tuple of LoadReport
        Loads that servers have reported since the last frame on the link.
    n_requests : float
        Number of requests that the sender has counted, weighted by their age.
    key_counts : tuple of (int, float)
        The same for the most frequent keys, by the key's short hash.
    """

    revision: int
    age_ms: int
    entries: tuple[MemberEntry, ...] = ()
    loads: tuple[LoadReport, ...] = ()
    n_requests: float = 0.0
    key_counts: tuple[tuple[int, float], ...] = ()


@frozen(kw_only=True)
class FeedUpdate:
    """Frame with changes of the store.

    Parameters
    ----------
    after : int
        Revision that the changes follow; 0 for a full replica.
    revision : int
        Revision up to which the replica is complete with the changes.
    changes : tuple of Change
        The changes, or all items of a full replica.
    """

    after: int
    revision: int
    changes: tuple[Change, ...]


@frozen(kw_only=True)
class Gossip:
    """Frame with reports that is sent between heartbeats.

    Parameters
    ----------
    age_ms : int
        Time since the last contact with the store, as in a heartbeat.
    loads : tuple of LoadReport
        Loads that servers have reported since the last frame on the link.
    prefixes : tuple of PrefixReport
        Prompt parts that engines have processed since then.
    failures : tuple of FailureReport
        Servers whose requests have failed since then.
    """

    age_ms: int = -1
    loads: tuple[LoadReport, ...] = ()
    prefixes: tuple[PrefixReport, ...] = ()
    failures: tuple[FailureReport, ...] = ()


Frame = Hello | Heartbeat | FeedUpdate | Gossip


def encode(frame: Frame) -> bytes:
    """Encode a frame."""
    match frame:
        case Hello():
            content: list[Any] = ["h", *astuple(frame.entry)]
        case Heartbeat():
            entries = [astuple(each) for each in frame.entries]
            loads = _pack_loads(frame.loads)
            counts = [list(each) for each in frame.key_counts]
            content = ["b", frame.revision, frame.age_ms, entries, loads]
            content += [frame.n_requests, counts]
        case Gossip():
            content = ["n", frame.age_ms, _pack_loads(frame.loads)]
            prefixes = (
                (each.part, each.engine, each.age_ms) for each in frame.prefixes
            )
            content.append(_pack(prefixes))
            content.append(_pack(astuple(each) for each in frame.failures))
        case FeedUpdate():
            changes = [[each.key, each.value, each.revision] for each in frame.changes]
            content = ["f", frame.after, frame.revision, changes]
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
        case ["z", bytes(packed)]:
            unpacker = zlib.decompressobj()
            return _decode(unpacker.decompress(packed, MAX_FRAME_BYTES))
        case ["h", *fields]:
            return Hello(entry=_to_entry(fields))
        case [
            "b",
            int(revision),
            int(age_ms),
            list(entries),
            bytes(loads),
            float(n_requests),
            list(counts),
        ]:
            return Heartbeat(
                revision=revision,
                age_ms=age_ms,
                entries=tuple(_to_entry(each) for each in entries),
                loads=_unpack_loads(loads),
                n_requests=n_requests,
                key_counts=tuple(_to_count(each) for each in counts),
            )
        case ["n", int(age_ms), bytes(loads), bytes(prefixes), bytes(failures)]:
            return Gossip(
                age_ms=age_ms,
                loads=_unpack_loads(loads),
                prefixes=tuple(
                    starmap(PrefixReport, _unpack(prefixes, N_REPORT_NUMBERS))
                ),
                failures=tuple(
                    starmap(FailureReport, _unpack(failures, N_FAILURE_NUMBERS))
                ),
            )
        case ["f", int(after), int(revision), list(changes)]:
            return FeedUpdate(
                after=after,
                revision=revision,
                changes=tuple(_to_change(each) for each in changes),
            )
        case _:
            raise ValueError("unknown type or layout of frame")


def _to_entry(fields: Any) -> MemberEntry:
    match list(fields):
        case [str(address), int(incarnation), str(data_centre), int(heartbeat)]:
            return MemberEntry(address, incarnation, data_centre, heartbeat)
        case _:
            raise ValueError("invalid membership entry")


def _pack_loads(loads: Sequence[LoadReport]) -> bytes:
    return _pack((each.load_id, each.n_requests, each.age_ms) for each in loads)


def _unpack_loads(data: bytes) -> tuple[LoadReport, ...]:
    return tuple(starmap(LoadReport, _unpack(data, N_REPORT_NUMBERS)))


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


def _to_change(fields: Any) -> Change:
    match list(fields):
        case [str(key), bytes() | None as value, int(revision)]:
            return Change(key=key, value=value, revision=revision)
        case _:
            raise ValueError("invalid change of the store")
