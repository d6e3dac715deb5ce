"""Seeded synthetic workloads: multi-turn chats on shared dossiers."""

import heapq
from collections.abc import Iterator
from random import Random

from attrs import frozen

from benchmarks._virtual import SERVICE
from damaskrill.messages import Request
from damaskrill.utils import check_random_state

__all__ = ["Arrival", "WorkloadSpec", "build_workload", "count_reusable_tokens"]

BLOCK_TOKENS = 64
DEADLINE_MS = 60_000
MINUTE_MS = 60_000
HASH_BITS = 48


@frozen(kw_only=True)
class Arrival:
    """Request of a workload with its arrival time."""

    at_ms: int
    request: Request
    n_output_tokens: int


@frozen(kw_only=True)
class WorkloadSpec:
    """Parameters of a workload.

    Parameters
    ----------
    n_dossiers, n_chats, n_requests : int
        Number of shared dossiers, of chats on them, and of requests in total.
    min_dossier_blocks, max_dossier_blocks : int
        Bounds of the length of a dossier's shared prefix, in blocks.
    median_pause_ms : int
        Median pause between turns of a chat, in milliseconds.
    duration_ms : int
        Duration, in milliseconds.
    """

    n_dossiers: int
    n_chats: int
    n_requests: int
    min_dossier_blocks: int
    max_dossier_blocks: int
    median_pause_ms: int
    duration_ms: int


def build_workload(spec: WorkloadSpec, seed: int) -> list[Arrival]:
    """Return the requests of a workload, ordered by arrival time.

    Notes
    -----
    About half of the chats use a tenth of the dossiers. Pauses are log-normal: most
    last minutes, some a hundred times as long.
    """
    random = check_random_state(seed)
    dossiers = [
        _draw_blocks(random, _draw_n_dossier_blocks(random, spec))
        for _ in range(spec.n_dossiers)
    ]
    turns: list[tuple[int, int, int]] = []
    for chat in range(spec.n_chats):
        start_ms = random.randrange(spec.duration_ms)
        heapq.heappush(turns, (start_ms, chat, _pick_dossier(random, spec)))
    history: dict[int, tuple[int, ...]] = {}
    arrivals: list[Arrival] = []
    while turns and len(arrivals) < spec.n_requests:
        at_ms, chat, dossier = heapq.heappop(turns)
        if at_ms >= spec.duration_ms:
            continue
        chat_blocks = history.get(chat, ()) + _draw_blocks(random, random.randint(2, 6))
        history[chat] = chat_blocks
        blocks = dossiers[dossier] + chat_blocks
        request = Request(
            request_id=f"request-{len(arrivals)}",
            service=SERVICE,
            team=f"team-{min(9, int(random.expovariate(0.5)))}",
            chat=f"chat-{chat}",
            dossier=f"dossier-{dossier}",
            prefix_blocks=blocks,
            n_prompt_tokens=len(blocks) * BLOCK_TOKENS,
            deadline_ms=at_ms + DEADLINE_MS,
        )
        n_output = random.randint(50, 300)
        arrivals.append(Arrival(at_ms=at_ms, request=request, n_output_tokens=n_output))
        pause_ms = int(spec.median_pause_ms * random.lognormvariate(0, 1.5))
        heapq.heappush(turns, (at_ms + 2_000 + pause_ms, chat, dossier))
    return arrivals


def count_reusable_tokens(arrivals: list[Arrival]) -> int:
    """Return the number of prompt tokens in prefixes shared with earlier requests."""
    return sum(_reusable_by_request(arrivals))


def _reusable_by_request(arrivals: list[Arrival]) -> Iterator[int]:
    seen: set[int] = set()
    for arrival in arrivals:
        n_seen = 0
        for block in arrival.request.prefix_blocks:
            if block not in seen:
                break
            n_seen += 1
        seen.update(arrival.request.prefix_blocks)
        yield n_seen * BLOCK_TOKENS


def _draw_n_dossier_blocks(random: Random, spec: WorkloadSpec) -> int:
    return random.randint(spec.min_dossier_blocks, spec.max_dossier_blocks)


def _draw_blocks(random: Random, n_blocks: int) -> tuple[int, ...]:
    return tuple(random.getrandbits(HASH_BITS) for _ in range(n_blocks))


def _pick_dossier(random: Random, spec: WorkloadSpec) -> int:
    return int(spec.n_dossiers * random.random() ** 3)
