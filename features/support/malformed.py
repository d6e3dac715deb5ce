"""Derandomized generators of malformed inputs."""

from functools import cache

import cbor2
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from damaskrill.codec import message_to_map
from damaskrill.messages import (
    AttemptRefused,
    CancelAttempt,
    Cause,
    CauseCode,
    Completed,
    ForwardedAnswer,
    OfferAttempt,
)
from damaskrill.peers._frames import (
    Chunk,
    Farewell,
    Greeting,
    Heartbeat,
    Payload,
    Proof,
    encode_frame,
)
from features.support.builders import build_request

MAX_INSERTED_BYTES = 40
EDGE_CASE_LINES = (
    b"[",
    b"]",
    b"[]",
    b"[service]",
    b"[service  a b]",
    b"[teams]",
    b"[teams 5]",
    b"[limits]",
    b"=",
    b"= 5",
    b"kind",
    b"kind = engine",
    b"depends_on = a a a",
    b"address = [::1]:80",
    b"address = 1.2.3.4:99999",
    b"max_queue_wait_ms = 99999999999999999999999999",
    b"max_queue_wait_ms = 5 parsecs",
    b"max_body_bytes = -1",
    b"configuration_service_url = http://[",
    b"fleet_key = x",
    b"\x00",
    b"\xff\xfe",
    b"\xef\xbb\xbf[process]",
    b"a" * 5_000,
    "schlüssel = größe".encode(),
    b"\x1b[31m = \x1b[0m",
    b"team-1 = 1 5",
    b"{x} = {0}",
    b"%(x)s = ${y}",
)


def run_examples(strategy, n_examples, check):
    """Call ``check`` with generated examples and return their number."""
    n_seen = 0

    @settings(
        max_examples=n_examples,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(strategy)
    def run(example):
        nonlocal n_seen
        n_seen += 1
        check(example)

    run()
    return n_seen


@cache
def valid_frames():
    """Return a frame of each kind, some with nested payloads."""
    cause = Cause(code=CauseCode.AT_LIMIT, subject="engine-1")
    request = build_request(prefix_blocks=(1, 2**63))
    offer = OfferAttempt(
        attempt_id="a1", request=request, backend_server="e1", remaining_ms=5
    )
    refusal = AttemptRefused(attempt_id="a1", causes=(cause,), load=3)
    answer = ForwardedAnswer(hop_id="h1", outcome=Completed(n_bytes=3, digest="ab"))
    return [
        Greeting(
            protocol=1,
            address="127.0.0.1:1",
            data_centre="bole",
            incarnation="i",
            nonce=b"n" * 16,
        ),
        Proof(digest=b"d" * 32),
        Payload(payload=offer, body=b"body"),
        Payload(payload=refusal),
        Payload(payload=answer),
        Payload(payload=CancelAttempt(attempt_id="a1")),
        Chunk(stream_id="s1", offset=7, data=b"data"),
        Heartbeat(),
        Farewell(),
    ]


@cache
def plain_values():
    """Return a strategy for CBOR values, including tags."""
    leaves = (
        st.none()
        | st.booleans()
        | st.integers(-(2**70), 2**70)
        | st.floats()
        | st.text(max_size=12)
        | st.binary(max_size=12)
        | st.builds(cbor2.CBORTag, st.integers(0, 70_000), st.integers(0, 9))
    )
    return st.recursive(
        leaves,
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=8), inner, max_size=4)
        ),
        max_leaves=12,
    )


@st.composite
def damaged_bytes(draw, originals):
    """Draw bytes in which some are truncated, changed, repeated or inserted."""
    content = bytearray(draw(st.sampled_from(originals)))
    for _ in range(draw(st.integers(1, 4))):
        position = draw(st.integers(0, len(content)))
        match draw(st.integers(0, 3)):
            case 0:
                del content[position:]
            case 1:
                content[position : position + 1] = draw(st.binary(max_size=2))
            case 2:
                content[position:position] = content[: draw(st.integers(0, 30))]
            case 3:
                content[position:position] = draw(
                    st.binary(max_size=MAX_INSERTED_BYTES)
                )
    return bytes(content)


@st.composite
def changed_payloads(draw):
    """Draw a frame whose payload has a field of a wrong type or name."""
    frames = [each for each in valid_frames() if isinstance(each, Payload)]
    fields = dict(message_to_map(draw(st.sampled_from(frames)).payload))
    fields[draw(st.sampled_from([*fields, "type", "other"]))] = draw(plain_values())
    return cbor2.dumps([2, fields, draw(st.binary(max_size=4))])


def malformed_frames():
    """Return a strategy for malformed frames."""
    originals = [encode_frame(frame) for frame in valid_frames()]
    random_arrays = st.lists(plain_values(), max_size=6).map(cbor2.dumps)
    numbered = st.builds(
        lambda kind, rest: cbor2.dumps([kind, *rest]),
        st.integers(-1, 7),
        st.lists(plain_values(), max_size=5),
    )
    return st.one_of(
        damaged_bytes(originals),
        changed_payloads(),
        numbered,
        random_arrays,
        st.binary(max_size=64),
        plain_values().map(cbor2.dumps),
    )


@st.composite
def damaged_lines(draw, original):
    """Draw an INI file with lines removed, repeated, changed or inserted."""
    lines = original.split(b"\n")
    for _ in range(draw(st.integers(1, 6))):
        position = draw(st.integers(0, len(lines)))
        match draw(st.integers(0, 4)):
            case 0:
                del lines[position : position + draw(st.integers(1, 3))]
            case 1:
                lines[position:position] = lines[:3]
            case 2:
                lines.insert(position, draw(st.sampled_from(EDGE_CASE_LINES)))
            case 3:
                lines.insert(position, draw(st.text(max_size=30)).encode())
            case 4 if lines:
                position = min(position, len(lines) - 1)
                key, _, _ = lines[position].partition(b"=")
                lines[position] = key + b"=" + draw(st.binary(max_size=12))
    return b"\n".join(lines)


def malformed_files(original):
    """Return a strategy for malformed INI files."""
    return st.one_of(
        damaged_lines(original),
        damaged_lines(original),
        damaged_bytes([original]),
        st.binary(max_size=200),
        st.lists(st.sampled_from(EDGE_CASE_LINES), max_size=12).map(b"\n".join),
    )
