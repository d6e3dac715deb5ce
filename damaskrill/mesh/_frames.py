"""Messages between routers, as CBOR arrays."""

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

# Larger messages are compressed: a configuration with many routes shrinks tenfold.
MIN_COMPRESSED_BYTES = 1_500
MAX_FRAME_BYTES = 64_000_000
# Unsigned numbers of 32 bits in a load or a prefix, and in failures.
N_REPORT_NUMBERS = 3
N_FAILURE_NUMBERS = 7
NUMBER_BYTES = 4
MAX_UINT32 = 0xFFFF_FFFF


@frozen
class MemberEntry:
    """A router as it is known.

    Parameters
    ----------
    address : str
        Where other routers reach it.
    incarnation : int
        Start of its process in Unix milliseconds.
    data_centre : str
        Where it runs.
    heartbeat : int
        Number that it raises while it lives.
    """

    address: str
    incarnation: int
    data_centre: str
    heartbeat: int


@frozen(kw_only=True)
class Hello:
    """First message of both ends of a link."""

    entry: MemberEntry


@frozen(kw_only=True)
class Heartbeat:
    """Sent regularly on each link.

    Parameters
    ----------
    revision : int
        Up to where the sender's copy of the store is complete.
    age_ms : int
        Age of the fleet's last contact with the store that the sender knows of, in
        milliseconds; negative if it knows of none.
    entries : tuple of MemberEntry
        Routers whose entries have changed.
    loads : tuple of LoadNews
        What servers have said since the last beat on the link.
    n_requests : float
        Requests that the sender has counted, weighted by their age.
    key_counts : tuple of (int, float)
        Those of the most frequent keys, by the key's short hash.
    """

    revision: int
    age_ms: int
    entries: tuple[MemberEntry, ...] = ()
    loads: tuple[LoadReport, ...] = ()
    n_requests: float = 0.0
    key_counts: tuple[tuple[int, float], ...] = ()


@frozen(kw_only=True)
class FeedUpdate:
    """Changes of the store.

    Parameters
    ----------
    after : int
        Revision that the changes follow; 0 for a whole copy.
    revision : int
        Up to where the copy is complete with them.
    changes : tuple of Change
        The changes, or all items.
    """

    after: int
    revision: int
    changes: tuple[Change, ...]


@frozen(kw_only=True)
class Gossip:
    """Sent between beats.

    Parameters
    ----------
    age_ms : int
        As in a beat.
    loads : tuple of LoadNews
        What servers have said since the last message on the link.
    prefixes : tuple of PrefixNews
        Where prompt parts have been read since then.
    failures : tuple of FailureNews
        Which servers' requests have failed since then.
    """

    age_ms: int = -1
    loads: tuple[LoadReport, ...] = ()
    prefixes: tuple[PrefixReport, ...] = ()
    failures: tuple[FailureReport, ...] = ()


Frame = Hello | Heartbeat | FeedUpdate | Gossip


def encode(frame: Frame) -> bytes:
    """Encode a message."""
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
    """Decode a message.

    Raises
    ------
    PeerFrameError
        If it is not one.
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
            raise ValueError("no known message")


def _to_entry(fields: Any) -> MemberEntry:
    match list(fields):
        case [str(address), int(incarnation), str(data_centre), int(heartbeat)]:
            return MemberEntry(address, incarnation, data_centre, heartbeat)
        case _:
            raise ValueError("no entry of a router")


def _pack_loads(loads: Sequence[LoadReport]) -> bytes:
    return _pack((each.load_id, each.n_requests, each.age_ms) for each in loads)


def _unpack_loads(data: bytes) -> tuple[LoadReport, ...]:
    return tuple(starmap(LoadReport, _unpack(data, N_REPORT_NUMBERS)))


def _pack(rows: Iterable[tuple[int, ...]]) -> bytes:
    # Most of what routers tell each other: packed numbers cost a tenth of the time of
    # arrays of CBOR integers.
    numbers = list(chain.from_iterable(rows))
    try:
        return struct.pack(f"<{len(numbers)}I", *numbers)
    except struct.error:
        # A server may state any number as its load.
        bounded = [max(0, min(number, MAX_UINT32)) for number in numbers]
        return struct.pack(f"<{len(bounded)}I", *bounded)


def _unpack(data: bytes, n_numbers: int) -> Iterator[tuple[int, ...]]:
    if len(data) % (n_numbers * NUMBER_BYTES):
        raise ValueError("no whole rows of numbers")
    return struct.iter_unpack(f"<{n_numbers}I", data)


def _to_count(fields: Any) -> tuple[int, float]:
    match list(fields):
        case [int(key), float(count)]:
            return (key, count)
        case _:
            raise ValueError("no count of a key")


def _to_change(fields: Any) -> Change:
    match list(fields):
        case [str(key), bytes() | None as value, int(revision)]:
            return Change(key=key, value=value, revision=revision)
        case _:
            raise ValueError("no change")
