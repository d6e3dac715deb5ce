"""Hypothesis strategies for malformed HTTP requests of callers."""

import json

from hypothesis import strategies as st

METHODS = [b"GET", b"POST", b"PUT", b"HEAD", b"", b"G\xff", b"OPTIONS"]
PATHS = [
    b"/v1/chat/completions",
    b"/v1/services/issuance",
    b"/v1/services/",
    b"/v1/services/%ff",
    b"/v1/permits",
    b"/v1/outcomes?service=issuance&permit=p",
    b"/v1/outcomes?service=%00",
    b"/status",
    b"/healthz",
    b"/readyz",
    b"/metrics",
    b"/nothing",
    b"*",
    b"",
]
VALID_CHAT = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "hello"}]}
).encode()
HEADER_NAMES = [
    b"Damaskrill-Team",
    b"Damaskrill-Priority",
    b"Damaskrill-Deadline-Ms",
    b"Damaskrill-Permit",
    b"Damaskrill-Chat",
    b"Idempotency-Key",
    b"Content-Length",
    b"Transfer-Encoding",
    b"Expect",
    b"Connection",
    b"Cookie",
    b"Content-Type",
    b"Upgrade",
]

# Sampling from a fixed set costs Hypothesis far less than generating nested values.
ODD_VALUES = [
    *(None, True, False, 0, -1, 2**70, 0.5, float("nan"), float("inf")),
    *("", "x", "x" * 300, "\x00", "é", "\ud800", "a b", "m", "user"),
    *([], {}, [[]], [None], [{}], {"a": None}, {"": []}, [1, "x"], {"team": []}),
    *([{"role": "user"}], [{"role": 1, "content": "x"}], [{"content": "x"}]),
    *([{"role": "user", "content": None}], [{"role": "user", "content": [{}]}]),
]
FIELD_NAMES = [
    *("model", "messages", "stream", "metadata", "user", "service", "team"),
    *("role", "max_tokens", ""),
]

odd_values = st.sampled_from(ODD_VALUES)
json_values = odd_values | st.text(max_size=8)
chat_like = st.lists(
    st.tuples(st.sampled_from(FIELD_NAMES), json_values), max_size=5
).map(dict)


def build_http(method, path, headers, body):
    """Return the bytes of a request."""
    lines = [method + b" " + path + b" HTTP/1.1", b"Host: x"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def with_length(body, headers=()):
    """Return headers with the correct length of a body, and the body."""
    length = (b"Content-Length", str(len(body)).encode())
    return [length, *headers], body


def _encode(value):
    return json.dumps(value).encode("utf-8", "surrogatepass")


@st.composite
def random_bodies(draw):
    """Well-formed HTTP requests with a body that is rarely valid."""
    path = draw(st.sampled_from(PATHS[:6]))
    body = draw(
        st.binary(max_size=60)
        | json_values.map(_encode)
        | chat_like.map(_encode)
        | st.just(b"[" * 900)
    )
    headers, body = with_length(body)
    return build_http(b"POST", path, headers, body)


ODD_NAMES = [b"", b" ", b"X-\xff", b"\x00", b"X:", b"X y", b"(", b"x" * 300]
ODD_HEADER_VALUES = [
    *(b"", b"x", b"chunked", b"100-continue", b"-1", b"0", b"5", b"9" * 20, b"a b"),
    *(b"\xff\xfe", b"\x00", b"close", b"x" * 300, b"1.5", b"identity, chunked"),
]
header_lists = st.lists(
    st.tuples(
        st.sampled_from(HEADER_NAMES + ODD_NAMES),
        st.sampled_from(ODD_HEADER_VALUES) | st.binary(max_size=6),
    ),
    max_size=4,
)


@st.composite
def random_headers(draw):
    """Requests with the body of a valid chat and headers that are rarely valid."""
    headers = draw(header_lists)
    method = draw(st.sampled_from(METHODS))
    path = draw(st.sampled_from(PATHS))
    if draw(st.booleans()):
        headers, _ = with_length(VALID_CHAT, headers)
    return build_http(method, path, headers, VALID_CHAT)


@st.composite
def damaged_requests(draw):
    """Valid requests with bytes removed, inserted or replaced."""
    headers, body = with_length(VALID_CHAT, [(b"Damaskrill-Team", b"t")])
    data = build_http(b"POST", draw(st.sampled_from(PATHS)), headers, body)
    for _ in range(draw(st.integers(min_value=1, max_value=4))):
        start = draw(st.integers(min_value=0, max_value=len(data)))
        n_cut = draw(st.integers(min_value=0, max_value=6))
        inserted = draw(st.binary(max_size=6))
        data = data[:start] + inserted + data[start + n_cut :]
    return data


STRATEGIES = {
    "random bytes": st.binary(min_size=1, max_size=200),
    "damaged requests": damaged_requests(),
    "random bodies": random_bodies(),
    "random headers": random_headers(),
}
