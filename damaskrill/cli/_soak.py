"""The command ``damaskrill soak``."""

import asyncio
import json
import sys
from typing import Any

from damaskrill.cli._errors import UsageError

__all__ = ["run"]

EXIT_VIOLATED = 1
MAX_ROUTERS = 60


def run(
    *,
    seed: str = "1",
    seeds: str = "1",
    routers: str = "3",
    seconds: str = "12",
    json: bool = False,
) -> int:
    """Inject seeded faults into real router processes and check the promises.

    Parameters
    ----------
    seed : str
        The first seed.
    seeds : str
        How many seeds are played, one after the other.
    routers : str
        Router processes.
    seconds : str
        How long each seed sends requests.
    json : bool
        Whether to print one JSON object a seed.

    Returns
    -------
    int
        0 if all promises held, 1 if one broke, 2 for a bad value.
    """
    first, n_seeds = _parse_number("seed", seed), _parse_number("seeds", seeds)
    n_routers, duration_s = (
        _parse_number("routers", routers),
        _parse_number("seconds", seconds),
    )
    if not 1 <= n_routers <= MAX_ROUTERS:
        raise UsageError(reason=f"routers must be from 1 to {MAX_ROUTERS}")
    return _run_seeds(first, n_seeds, n_routers, duration_s, as_json=json)


def _parse_number(name: str, text: str) -> int:
    if not text.isdigit():
        raise UsageError(reason=f"{name} must be a whole number, not '{text}'")
    return int(text)


def _run_seeds(
    first: int, n_seeds: int, n_routers: int, duration_s: int, *, as_json: bool
) -> int:
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from damaskrill.soak import run_soak

    running: Any = reactor
    running.startRunning(installSignalHandlers=False)
    n_broken = 0
    for seed in range(first, first + n_seeds):
        result = loop.run_until_complete(
            run_soak(seed=seed, n_routers=n_routers, duration_s=duration_s)
        )
        n_broken += bool(result.breaches)
        if as_json:
            print(json.dumps(result.to_map()), flush=True)
            continue
        print(
            f"seed {seed}: {result.n_served} of {result.n_requests} requests served, "
            f"{result.n_faults} faults, {len(result.breaches)} promises broken",
            flush=True,
        )
        for breach in result.breaches[:10]:
            print(f"  {breach.promise}: {breach.request_id} {breach.detail}")
        if result.folder:
            print(f"  logs in {result.folder}", file=sys.stderr)
    return EXIT_VIOLATED if n_broken else 0
