"""Servers fail a part of the requests that they have run with 503."""

import asyncio
import os
import sys
from pathlib import Path
from random import Random

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
from standins.http import call, send_whole  # noqa: E402

N_ROUTERS = 3
N_SERVERS = 3
N_REQUESTS = 120
WORK_S = 0.06
# Share of the requests that a server in trouble fails.
FAILED_SHARE = 0.4
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


async def play(store, routers, record, has_trouble):
    """Return whether the rule held."""
    random, runs = Random(1), set()

    async def answer(http, writer, request, headers):
        request_id = request.headers["damaskrill-request-id"]
        runs.add(request_id)
        await asyncio.sleep(WORK_S)
        if has_trouble and random.random() < FAILED_SHARE:
            record("failed", request_id, status=503)
            send_whole(http, writer, 503, headers, b"the registry is not reached")
        else:
            send_whole(http, writer, 200, headers, b"x" * 800)

    store.put("op/config", build_configuration())
    servers = [
        Backend(store, record, service="app", server_id=f"i-{number}", n_slots=6)
        for number in range(N_SERVERS)
    ]
    for server in servers:
        server.answer_plain = answer
        await server.start()
    await start_routers(routers, record)
    refused = []
    for number in range(N_REQUESTS):
        request_id, router = f"15{number:06x}", routers[number % len(routers)]
        headers = [
            ("Host", HOST),
            ("Damaskrill-Request-Id", request_id),
            ("Damaskrill-Request-Deadline", "1500"),
            ("Authorization", f"Bearer {KEY}"),
        ]
        record("sent", request_id, router=router.name)
        body = b'{"channel": %d}' % number
        reply = await call(
            router.callers, "POST", "/issue/1", headers, body=body, limit_s=2
        )
        record("ended", request_id, status=reply["status"])
        if reply["status"] in PROMISES and request_id in runs:
            refused.append(request_id)
        await asyncio.sleep(0.05)
    record("refused_though_run", f"{len(refused)} of {len(runs)} runs")
    return BROKEN if refused else HELD


HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
main(FOLDER / "record.txt", N_ROUTERS, play, has_trouble=HAS_TROUBLE)
