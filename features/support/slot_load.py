"""Seeded callers of several teams and priorities before servers with few slots."""

import asyncio
import gc
import time
from collections import Counter
from random import Random

from attrs import frozen

from damaskrill.fakes.platform import ServerSlots, build_configuration
from features.support.gateways import Caller, build_request

# Requests a second for the slots of two servers, which serve 80 a second.
RATE_PER_S = 110
N_SERVERS, N_SLOTS, WORK_MS = 2, 4, 100
TARGET_MS = 400
# What a caller waits; it honours Retry-After up to a third of the time that is left.
DEADLINE_MS = 1_200
# Interval at which it is measured how long the machine keeps this process waiting.
PROBE_S = 0.005
HOT_TEAM = "team-0"
TEAMS = tuple(f"team-{number}" for number in range(6))
# The hot team's share of the requests.
HOT_SHARE = 0.63
PRIORITIES = (0, 1, 2)
# Shares of the priorities among each team's requests.
PRIORITY_SHARES = (0.2, 0.3, 0.5)


@frozen(kw_only=True)
class SlotReply:
    """What one caller got in the end.

    Parameters
    ----------
    team, priority
        Who asked, and how urgently.
    statuses : tuple of int
        Status of each attempt.
    target_ms, latency_ms : float
        Target, and time until the last answer, in milliseconds.
    refused_ms : tuple of float
        Time that each refused attempt took, in milliseconds.
    bodies : tuple of bytes
        Bodies of the refusals.
    request_ids : tuple of str
        IDs of the attempts.
    """

    team: str
    priority: int
    statuses: tuple[int, ...]
    target_ms: float
    latency_ms: float
    refused_ms: tuple[float, ...]
    bodies: tuple[bytes, ...] = ()
    request_ids: tuple[str, ...] = ()

    @property
    def is_served(self):
        return self.statuses[-1:] == (200,)

    @property
    def is_in_time(self):
        return self.is_served and self.latency_ms <= self.target_ms


def build_slot_configuration(*, scale=1, **changes):
    """Return a configuration with a route for each priority and six teams."""
    base = build_configuration()
    read = next(each for each in base["routes"] if each["name"] == "r-read")
    issue = next(each for each in base["routes"] if each["name"] == "r-issue")
    routes = list(base["routes"])
    for priority in PRIORITIES:
        fields = {"priority": priority, "targetLatencyMs": scale * TARGET_MS}
        for kind, route in (("read", read), ("issue", issue)):
            name = f"{kind}-{priority}"
            routes.append({**route, **fields, "name": name, "prefix": f"/{name}/"})
    tenants = [{"name": team, "apiKeys": [f"key-{team}"]} for team in TEAMS]
    return {**base, "routes": routes, "tenants": tenants, **changes}


def start_servers(testbed, *, n_servers=N_SERVERS, n_places=0, scale=1):
    """Start servers that state all four figures and reject when they are full."""
    for number in range(n_servers):
        start_server(testbed, f"s-{number}", n_places=n_places, scale=scale)


def start_server(testbed, server_id, *, n_places=0, scale=1):
    entry, work_ms = {"slotCount": N_SLOTS}, scale * WORK_MS
    testbed.add_server(server_id, "app", entry=entry, work_ms=work_ms)
    testbed.servers[server_id].slots = ServerSlots(N_SLOTS, n_places)


def draw_arrivals(*, seed, seconds, rate_per_s=RATE_PER_S):
    """Return arrivals as (seconds, router, team, priority), Poisson distributed."""
    random, at, arrivals = Random(seed), 0.0, []
    while (at := at + random.expovariate(rate_per_s)) < seconds:
        is_hot = random.random() < HOT_SHARE
        team = HOT_TEAM if is_hot else random.choice(TEAMS[1:])
        priority = random.choices(PRIORITIES, PRIORITY_SHARES)[0]
        arrivals.append((at, random.random(), team, priority))
    return arrivals


async def _call(addresses, index, team, priority, kind, scale):
    """Send a request; come back once after a refusal, as its Retry-After tells."""
    deadline_ms = scale * DEADLINE_MS
    started_at, statuses, refused_ms, bodies, ids = time.monotonic(), [], [], [], []
    for attempt in range(2):
        left_ms = deadline_ms - (time.monotonic() - started_at) * 1_000
        sent_at = time.monotonic()
        data, request_id = build_request(
            f"/{kind}-{priority}/x",
            key=f"key-{team}",
            headers=[("Damaskrill-Request-Deadline", str(max(1, round(left_ms))))],
        )
        ids.append(request_id)
        try:
            caller = await Caller.open(addresses[(index + attempt) % len(addresses)])
            caller.send(data)
            reply = await caller.read_reply()
            caller.close()
        except (OSError, TimeoutError):
            statuses.append(0)
            break
        statuses.append(reply.status)
        if reply.status not in (429, 503):
            break
        refused_ms.append((time.monotonic() - sent_at) * 1_000)
        bodies.append(reply.body)
        pause_s = float(reply.headers.get("retry-after", "0"))
        left_s = deadline_ms / 1_000 - (time.monotonic() - started_at)
        if attempt or left_s <= 0.01:
            break
        await asyncio.sleep(min(pause_s, left_s / 3))
    return SlotReply(
        team=team,
        priority=priority,
        statuses=tuple(statuses),
        target_ms=scale * TARGET_MS,
        latency_ms=(time.monotonic() - started_at) * 1_000,
        refused_ms=tuple(refused_ms),
        bodies=tuple(bodies),
        request_ids=tuple(ids),
    )


def play(testbed, arrivals, *, addresses=None, kind="read", scale=1):
    """Play arrivals against the gateways and return what the callers got.

    Returns
    -------
    replies : list of SlotReply
        By arrival.
    lag_ms : float
        Longest time for which the machine kept this process from running.
    """
    addresses = addresses or [
        each._settings.caller_address for each in testbed.gateways
    ]
    lags = [0.0]

    async def probe():
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PROBE_S
            await asyncio.sleep(PROBE_S)
            lags.append((loop.time() - due) * 1_000)

    async def run():
        started_at, tasks = time.monotonic(), []
        prober = asyncio.create_task(probe())
        for at, where, team, priority in arrivals:
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            index = int(where * len(addresses))
            work = _call(addresses, index, team, priority, kind, scale)
            tasks.append(asyncio.create_task(work))
        replies = await asyncio.gather(*tasks)
        prober.cancel()
        return replies

    # Callers, servers and routers share this process, whose full collections would take
    # as long as a target; a router alone has a small part of the objects.
    gc.collect()
    gc.disable()
    try:
        return testbed.thread.run(run()), max(lags)
    finally:
        gc.enable()


def find_shares(replies, servers):
    """Return the figures of a run by name."""

    def share(found, condition):
        chosen = [each for each in replies if condition(each)]
        return sum(getattr(each, found) for each in chosen) / max(1, len(chosen))

    target_ms = replies[0].target_ms
    refused_ms = sorted(ms for each in replies for ms in each.refused_ms)
    n_rejected = sum(each.slots.n_rejected for each in servers)
    n_arrivals = sum(len(each.requests) for each in servers)
    return {
        **{
            f"in_time_{priority}": share("is_in_time", _has_priority(priority))
            for priority in PRIORITIES
        },
        **{
            f"served_{priority}": share("is_served", _has_priority(priority))
            for priority in PRIORITIES
        },
        "served_hot": share("is_served", lambda each: each.team == HOT_TEAM),
        "served_inside": share("is_served", lambda each: each.team != HOT_TEAM),
        "in_time_inside": share("is_in_time", lambda each: each.team != HOT_TEAM),
        "rejected": n_rejected / max(1, n_arrivals),
        "n_requests": len(replies),
        "n_runs": sum(sum(each.runs.values()) for each in servers),
        "n_refusals": len(refused_ms),
        "refused_median_ms": _quantile(refused_ms, 0.5),
        "refused_p95_ms": _quantile(refused_ms, 0.95),
        "refused_max_ms": _quantile(refused_ms, 1.0),
        "refused_late": sum(each > target_ms / 8 for each in refused_ms),
        "statuses": dict(Counter(s for each in replies for s in each.statuses)),
    }


def _has_priority(priority):
    return lambda each: each.priority == priority


def _quantile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
