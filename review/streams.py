"""Engine and clients of streams whose events name the version that wrote them."""

import asyncio
import re
from collections.abc import Callable, Sequence

import h11

from review.client import send
from review.deployment import Deployment, Router
from review.server import Connection, Server

__all__ = ["Engine", "StreamClient", "build_route"]

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


def build_route() -> dict[str, object]:
    """Return a route with streams that may be resumed."""
    return {
        "name": "r-check",
        "host": "desk.example",
        "prefix": "/check/",
        "kind": "streaming",
        "streamResume": True,
        "stickySessions": True,
        "service": "pool",
        "timeoutMs": 15_000,
        "targetLatencyMs": 400,
        "targetGapMs": 300,
        "priority": 0,
        "maxAttempts": 2,
    }


class Engine(Server):
    """Engine whose events name the software version that wrote them."""

    n_events = 12
    event_s = 0.25

    async def run(
        self,
        connection: Connection,
        request: dict[str, str],
        headers: Sequence[tuple[str, str]],
    ) -> None:
        """Write the events after the last one that the client has."""
        first = int(request.get("last-event-id", "0")) + 1
        chunked = ("Transfer-Encoding", "chunked")
        stream = [*headers, ("Content-Type", "text/event-stream"), chunked]
        connection.write(h11.Response(status_code=200, headers=stream, reason=b""))
        for number in range(first, self.n_events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            connection.write(h11.Data(data=event))
        connection.write(h11.EndOfMessage())


class StreamClient:
    """Clients that take a broken stream up once, as the users' pages say.

    Parameters
    ----------
    deployment : Deployment
        Routers, and the record.
    pick_retry : callable
        Returns the router to which the balancer sends a retry.
    deadline_s : float
        How long a client waits, from its first attempt on.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        pick_retry: Callable[[], Router],
        deadline_s: float,
    ) -> None:
        self._deployment = deployment
        self._pick_retry = pick_retry
        self._deadline_s = deadline_s
        self.versions: dict[str, list[str]] = {}
        self.n_complete = 0

    @property
    def mixed(self) -> list[str]:
        """Streams that hold events of two versions."""
        return [name for name, each in self.versions.items() if len(set(each)) > 1]

    async def check(self, number: int, *, pause_s: float = 0.0) -> None:
        """Read one stream, and take it up after a pause if it breaks."""
        deployment, loop = self._deployment, asyncio.get_running_loop()
        name = f"s{number:03d}"
        prompt = f"aa{number % 20:02x}:400,bb{number:04x}:60"
        router = deployment.routers[number % len(deployment.routers)]
        ends_at = loop.time() + self._deadline_s
        events: list[tuple[int, str]] = []
        for attempt in range(2):
            request_id = f"{name}-{attempt}"
            left_s = ends_at - loop.time()
            headers = [
                ("Host", "desk.example"),
                ("Damaskrill-Request-Id", request_id),
                ("Damaskrill-Request-Deadline", str(round(left_s * 1_000))),
                ("Damaskrill-Model", "m"),
                ("Damaskrill-Token-Usage", "460,48"),
                ("Damaskrill-Prompt-Prefix", prompt),
                ("Authorization", "Bearer key-1"),
            ]
            if events:
                headers += [("Last-Event-Id", str(events[-1][0]))]
                headers += [("Resumes", f"{name}-0")]
            deployment.note(f"{request_id} sent to {router.host} after {events[-1:]}")
            answer = await send(
                router.address,
                "POST",
                "/check/1",
                headers,
                body=b"clause",
                timeout_s=left_s,
            )
            if answer.status == 200:
                found = EVENT.findall(answer.body)
                events += [(int(n), version.decode()) for n, version in found]
            deployment.note(
                f"{request_id} answered {answer.status}, complete: "
                f"{answer.is_complete}, events now: {events}"
            )
            if answer.is_complete and answer.status == 200:
                self.n_complete += 1
                break
            await asyncio.sleep(pause_s)
            router = self._pick_retry()
        self.versions[name] = [version for _, version in events]
