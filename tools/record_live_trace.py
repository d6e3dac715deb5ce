"""Record an example trace from a real router with ordinary HTTP clients on loopback.

The expected outcomes are written here, derived from the guarantees of the product.
Usage: ``python -m tools.record_live_trace``
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from damaskrill.demo._client import call_router
from damaskrill.demo._fleet import ACTION_SERVICE, CHAT_SERVICE, LoopbackFleet
from damaskrill.runtime import run_in_reactor
from damaskrill.traces import (
    ExpectedAnswerCount,
    ExpectedDispatchCount,
    ExpectedOutcome,
    ExpectedSameServer,
    dump_line,
    expectation_to_map,
    open_trace,
    replay_files,
)

ROOT = Path(__file__).resolve().parent.parent
TRACE_PATH = ROOT / "examples" / "traces" / "abay-live-router.jsonl"
N_CHATS = 4
TIMEOUT_S = 30


async def send_chat(port):
    """Send a chat request for one dossier and return its request ID."""
    messages = [{"role": "user", "content": "Which band is free?"}]
    reply = await call_router(
        port,
        "/v1/chat/completions",
        {"model": CHAT_SERVICE, "messages": messages},
        {"Damaskrill-Team": "officers", "Damaskrill-Dossier": "dossier-1"},
    )
    return reply.request_id


async def send_action_twice(port):
    """Send one action twice and return its permit and both request IDs."""
    permit_request = {"service": ACTION_SERVICE, "team": "officers"}
    reply = await call_router(port, "/v1/permits", permit_request)
    permit = json_field(reply.content, "permit")
    headers = {"Damaskrill-Team": "officers", "Damaskrill-Permit": permit}
    path = f"/v1/services/{ACTION_SERVICE}"
    replies = await asyncio.gather(
        *(call_router(port, path, {"channel": 7}, headers) for _ in range(2))
    )
    return permit, [each.request_id for each in replies]


def json_field(content, name):
    """Return a field of a JSON object."""
    return json.loads(content)[name]


async def record(path):
    """Run a router with clients; return chat IDs, permit and action IDs."""
    from twisted.internet import reactor

    fleet = LoopbackFleet(
        reactor=reactor, n_routers=1, n_engines=3, settings={"trace_output": str(path)}
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await fleet.start()
            port = fleet.ports[0]
            chats = [await send_chat(port) for _ in range(N_CHATS)]
            permit, actions = await send_action_twice(port)
            await asyncio.sleep(0.3)
    finally:
        await fleet.stop()
    return chats, permit, actions


def append_expectations(path, chats, permit, actions):
    """Append the expected outcomes with the time of the last input."""
    at_ms = max(entry.at_ms for _, entry in open_trace(str(path)))
    expected = [
        ExpectedSameServer(at_ms=at_ms, request_ids=tuple(chats)),
        ExpectedDispatchCount(at_ms=at_ms, permit=permit, at_most=1, at_least=1),
    ]
    for request_id in (*chats, *actions):
        expected += [
            ExpectedOutcome(at_ms=at_ms, request_id=request_id, outcome="completed"),
            ExpectedAnswerCount(at_ms=at_ms, request_id=request_id),
        ]
    with path.open("ab") as stream:
        for each in expected:
            stream.write(dump_line(expectation_to_map(each)))


async def run(path):
    """Record a trace and append its expectations."""
    append_expectations(path, *await record(path))
    return 0


def main():
    TRACE_PATH.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "trace.jsonl"
        run_in_reactor(run(path))
        TRACE_PATH.write_bytes(path.read_bytes())
    return replay_files([str(TRACE_PATH)])


if __name__ == "__main__":
    sys.exit(main())
