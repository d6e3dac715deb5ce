"""The command ``damaskrill soak``."""

import asyncio
import json
import sys
from collections.abc import Sequence
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
    fatal_part: bool = False,
    fatal_request: bool = False,
    json: bool = False,
) -> int:
    """Inject seeded faults into real router processes and check the guarantees.

    Parameters
    ----------
    seed : str, default="1"
        First seed.
    seeds : str, default="1"
        Number of consecutive seeds to run.
    routers : str, default="3"
        Number of router processes.
    seconds : str, default="12"
        Time in seconds during which each seed sends requests.
    fatal_part : bool, default=False
        Whether a prompt part crashes each server that begins to answer it; with less
        than about 24 seconds there is little time for its checks after the crashes.
    fatal_request : bool, default=False
        Whether a request that comes again crashes each server that begins to run it;
        not together with a fatal part.
    json : bool, default=False
        Whether to print one JSON object per seed.

    Returns
    -------
    int
        Exit status: 0 if all guarantees held, 1 if one was violated, 2 if a value is
        invalid.
    """
    first, n_seeds = _parse_number("seed", seed), _parse_number("seeds", seeds)
    n_routers, duration_s = (
        _parse_number("routers", routers),
        _parse_number("seconds", seconds),
    )
    if not 1 <= n_routers <= MAX_ROUTERS:
        raise UsageError(reason=f"routers must be between 1 and {MAX_ROUTERS}")
    options: dict[str, Any] = {"n_routers": n_routers, "duration_s": duration_s}
    if fatal_part and fatal_request:
        raise UsageError(reason="fatal-part and fatal-request exclude each other")
    if fatal_part or fatal_request:
        from damaskrill.soak import FaultKind

        options["fatal_kind"] = (
            FaultKind.FATAL_PART if fatal_part else FaultKind.FATAL_REQUEST
        )
    return _run_seeds(range(first, first + n_seeds), as_json=json, **options)


def _parse_number(name: str, text: str) -> int:
    if not text.isdigit():
        raise UsageError(reason=f"{name} must be an integer, not '{text}'")
    return int(text)


def _run_seeds(seeds: Sequence[int], *, as_json: bool, **options: Any) -> int:
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from damaskrill.soak import run_soak

    running: Any = reactor
    running.startRunning(installSignalHandlers=False)
    n_failed_seeds = 0
    for seed in seeds:
        result = loop.run_until_complete(run_soak(seed=seed, **options))
        n_failed_seeds += bool(result.breaches)
        if as_json:
            print(json.dumps(result.to_map()), flush=True)
            continue
        print(
            f"seed {seed}: {result.n_served} of {result.n_requests} requests served, "
            f"{result.n_faults} faults, {result.n_probes} probes, "
            f"{len(result.breaches)} violations",
            flush=True,
        )
        for breach in result.breaches[:10]:
            print(f"  {breach.promise}: {breach.request_id} {breach.detail}")
        if result.folder:
            print(f"  logs in {result.folder}", file=sys.stderr)
    return EXIT_VIOLATED if n_failed_seeds else 0
