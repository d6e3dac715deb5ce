"""A part of a prompt crashes servers; sound requests share the document after it."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.backends import Backend  # noqa: E402
from standins.deployment import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    KEY,
    build_configuration,
    main,
    start_routers,
)
from standins.http import call  # noqa: E402

N_ROUTERS = 3
N_SERVERS = 5
FATAL_PART = "bad0"
DOCUMENT = "d0c1"
# Sound callers of the document come together, as often as this.
N_TOGETHER = 3
PERIOD_S = 5.0
N_PERIODS = 9
# How long a crashed server is away.
AWAY_S = 3.0
# Limits of the rule.
CONTACT_S = 3.0
LEAST_COUNTED = 20


class Callers:
    """Senders of all requests, of one caller each."""

    def __init__(self, routers, record):
        self._routers, self._record = routers, record
        self._numbers = itertools.count(1)

    async def send(self, parts, key=KEY):
        """Send a request at the next router; return whether its stream began."""
        number = next(self._numbers)
        request_id = f"{number:08x}"
        router = self._routers[number % len(self._routers)]
        prompt = ",".join([*(f"{part}:600" for part in parts), f"{request_id}:100"])
        headers = [
            ("Host", HOST),
            ("Damaskrill-Request-Id", request_id),
            ("Damaskrill-Request-Deadline", "3000"),
            ("Damaskrill-Model", "m"),
            ("Damaskrill-Token-Usage", "1300,24"),
            ("Damaskrill-Prompt-Prefix", prompt),
            ("Authorization", f"Bearer {key}"),
        ]
        self._record("sent", request_id, router=router.name, parts="+".join(parts))
        body = b'{"question": %d}' % number
        answer = await call(
            router.callers, "POST", "/check/1", headers, body=body, limit_s=3
        )
        has_begun = answer["status"] == 200 and b"data:" in answer["body"]
        self._record("ended", request_id, status=answer["status"], begun=has_begun)
        return has_begun


async def send_others(callers):
    """Send requests of another team, with other parts, until cancelled."""
    for number in itertools.count():
        await callers.send(["7a1", f"e{number % 7}"], key="anfqasnmgkcuyj8pjbvk")
        await asyncio.sleep(0.2)


async def send_sound(callers, n_periods, results):
    """Send requests on the document, some at a time."""
    for _ in range(n_periods):
        sent = (callers.send(["5e7", DOCUMENT]) for _ in range(N_TOGETHER))
        results += await asyncio.gather(*sent)
        await asyncio.sleep(PERIOD_S)


async def send_fatal(callers):
    """Send a request with the fatal part, and once more if it fails, each period."""
    while True:
        for _ in range(2):
            if await callers.send(["5e7", FATAL_PART, DOCUMENT]):
                break
        await asyncio.sleep(PERIOD_S)


async def play(store, routers, record, has_trouble):
    """Return whether the rule held."""
    teams = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]
    teams.append({"name": "otha1", "apiKeys": ["anfqasnmgkcuyj8pjbvk"], "priority": 1})
    store.put("op/config", build_configuration(tenants=teams))
    crashes, tasks = [], set()

    async def crash(server):
        server.crash()
        await asyncio.sleep(AWAY_S)
        await server.start()
        record("back", server.server_id)

    def begin(server, request):
        if has_trouble and FATAL_PART in request.headers["damaskrill-prompt-prefix"]:
            crashes.append(asyncio.get_running_loop().time())
            record("crash", server.server_id)
            tasks.add(asyncio.create_task(crash(server)))
            return False
        return True

    servers = [
        Backend(store, record, service="pool", server_id=f"i-{number}")
        for number in range(N_SERVERS)
    ]
    for server in servers:
        server.n_events, server.event_s, server.begin = 6, 0.05, begin
        await server.start()
    await start_routers(routers, record)
    callers, before, after = Callers(routers, record), [], []
    others = asyncio.create_task(send_others(callers))
    await send_sound(callers, N_PERIODS - 1, before)
    # The fatal requests begin between two times at which the sound ones come.
    fatal = asyncio.create_task(send_fatal(callers))
    await asyncio.sleep(2 * CONTACT_S + 1)
    await send_sound(callers, N_PERIODS - 1, after)
    others.cancel()
    fatal.cancel()
    shares = [sum(each) / len(each) for each in (before, after)]
    record("crashes", len(crashes))
    record("begun", f"{sum(before)} of {len(before)} before")
    record("begun", f"{sum(after)} of {len(after)} while fatal requests come")
    is_counted = min(len(before), len(after)) >= LEAST_COUNTED
    return BROKEN if is_counted and shares[1] < shares[0] / 2 else HELD


HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
main(FOLDER / "record.txt", N_ROUTERS, play, has_trouble=HAS_TROUBLE)
