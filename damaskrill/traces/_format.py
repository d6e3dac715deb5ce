"""Data classes of a trace and their conversion from and to JSON lines.

Notes
-----
The first line is the header. Every further line is an input or an expected outcome,
ordered by time. Bytes are encoded as ``{"utf8": ...}`` or ``{"base64": ...}``.
"""

import base64
from typing import Any

import attrs
import cattrs
import orjson
from attrs import field, frozen

from damaskrill.messages import Member, Message

__all__ = [
    "FORMAT_NAME",
    "FORMAT_VERSION",
    "TraceHeader",
    "TraceInput",
    "TraceRouter",
    "dump_line",
    "header_from_map",
    "header_to_map",
    "load_line",
]

FORMAT_NAME = "damaskrill-trace"
FORMAT_VERSION = 1
UTF8_KEY = "utf8"
BASE64_KEY = "base64"
# Lines without these markers contain no bytes, so their content is not traversed.
BYTES_MARKERS = (b'{"utf8":', b'{"base64":')


@frozen(kw_only=True)
class TraceRouter:
    """A router process with inputs in a trace.

    Parameters
    ----------
    name : str
        Name in the lines of the trace, unique within the trace.
    address, data_centre, incarnation : str
        As in ``Member``.
    random_state : int
        Seed of the router's kernel; -1 for the seed of the header.
    """

    name: str
    address: str
    data_centre: str
    incarnation: str = ""
    random_state: int = -1

    @property
    def member(self) -> Member:
        """The router as a member of the fleet."""
        return Member(
            address=self.address,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
        )


@frozen(kw_only=True)
class TraceHeader:
    """First line of a trace.

    Parameters
    ----------
    format : str
        Always ``"damaskrill-trace"``.
    version : int
        Version of the format.
    seed : int
        Seed of the kernels.
    routers : tuple of TraceRouter
        Processes to which the inputs belong.
    sample_permille : int
        Fraction of the requests that was recorded, in thousandths.
    title : str
        Readable description of the trace.
    """

    seed: int
    routers: tuple[TraceRouter, ...]
    format: str = FORMAT_NAME
    version: int = FORMAT_VERSION
    sample_permille: int = 1_000
    title: str = ""


@frozen(kw_only=True)
class TraceInput:
    """A message that a router received.

    Parameters
    ----------
    line : int
        Line number in the file.
    at_ms : int
        Time of receipt, in milliseconds.
    router : str
        Name of the router.
    message : Message
        The message.
    """

    line: int
    at_ms: int
    router: str
    message: Message = field(repr=False)


_converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)


def header_from_map(content: dict[str, Any]) -> TraceHeader:
    """Convert a decoded first line to a header."""
    return _converter.structure(content, TraceHeader)


def header_to_map(header: TraceHeader) -> dict[str, Any]:
    """Convert a header to the content of its line, starting with the format."""
    content = attrs.asdict(header)
    return {
        "format": content.pop("format"),
        "version": content.pop("version"),
        **content,
    }


def dump_line(content: dict[str, Any]) -> bytes:
    """Encode a line of JSON, including its line feed."""
    return orjson.dumps(
        content,
        default=_encode_default,
        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
    )


def load_line(line: bytes) -> Any:
    """Decode a line of JSON."""
    content = orjson.loads(line)
    if any(marker in line for marker in BYTES_MARKERS):
        return _decode_bytes(content)
    return content


def _encode_default(value: Any) -> Any:
    if isinstance(value, bytes):
        try:
            return {UTF8_KEY: value.decode("utf-8")}
        except UnicodeDecodeError:
            return {BASE64_KEY: base64.b64encode(value).decode("ascii")}
    if isinstance(value, set | frozenset):
        return sorted(value)
    raise TypeError(type(value).__name__)


def _decode_bytes(content: Any) -> Any:
    match content:
        case {"utf8": str() as text} if len(content) == 1:
            return text.encode("utf-8")
        case {"base64": str() as text} if len(content) == 1:
            return base64.b64decode(text, validate=True)
        case dict():
            return {key: _decode_bytes(value) for key, value in content.items()}
        case list():
            return [_decode_bytes(value) for value in content]
    return content
