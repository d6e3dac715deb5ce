"""Send crowds outside the limits to one router process, and an ordinary caller beside.

Prints the peak memory, the most sockets and the ordinary caller's answers.
Run it alone: ``python -m tools.outside_limits [MEMORY_MB] [MAX_DESCRIPTORS]``.
"""

import sys
import time
from collections import Counter

from features.support.crowds import (
    LIMITS,
    MB,
    Crowd,
    LimitedRouter,
    send_ahead,
    send_announced,
    send_chunked,
)
from features.support.gateways import GatewayTestbed

HOLD_S = 10
PAUSE_S = 0.1
ANSWER_BYTES = 200_000
CROWDS = (
    ("announced 4 GB, 2 MB sent", 200, lambda: send_announced(2 * MB)),
    ("chunks of 64 KB, 983 KB", 200, lambda: send_chunked(983_040, chunk_bytes=65_536)),
    ("chunks of 1 byte, 60 KB", 40, lambda: send_chunked(60_000, chunk_bytes=1)),
    ("1,500 requests ahead", 10, lambda: send_ahead(1_500)),
    ("chunks of 1 byte, 60 KB", 200, lambda: send_chunked(60_000, chunk_bytes=1)),
    ("connections without a request", 3_000, lambda: b""),
)


def ask_beside(router, until):
    """Ask until a time; return statuses and the elapsed times in milliseconds."""
    statuses, times = Counter(), []
    while time.monotonic() < until:
        started = time.monotonic()
        try:
            statuses[router.ask(timeout_s=8).status] += 1
        except (OSError, TimeoutError) as error:
            statuses[type(error).__name__] += 1
        times.append((time.monotonic() - started) * 1_000)
        time.sleep(PAUSE_S)
    return statuses, sorted(times)


def main():
    memory_mb, n_descriptors = [*map(int, sys.argv[1:]), 152, 2_870][:2]
    testbed = GatewayTestbed()
    testbed.configure(limits=LIMITS)
    for name in ("a-1", "a-2"):
        testbed.add_server(name, "app")
        testbed.servers[name].n_body_bytes = ANSWER_BYTES
    for name, n_connections, build in CROWDS:
        router = LimitedRouter(
            store=testbed.store.address,
            memory_mb=memory_mb,
            max_descriptors=n_descriptors,
        )
        time.sleep(2)
        router.ask()
        idle_mb = router.peak_mb
        crowd = Crowd(
            address=router.address,
            data=build(),
            n_connections=n_connections,
            hold_s=HOLD_S,
        )
        crowd.start()
        statuses, times = ask_beside(router, time.monotonic() + HOLD_S)
        print(
            f"{n_connections} x {name}: idle {idle_mb:.0f} MB,"
            f" peak {router.peak_mb:.0f} MB, {router.max_sockets} sockets,"
            f" beside {dict(statuses)}, median {times[len(times) // 2]:.0f} ms,"
            f" longest {times[-1]:.0f} ms, running {router.is_running}",
            flush=True,
        )
        crowd.wait()
        print("  afterwards", router.ask().status, flush=True)
        router.close()
    testbed.close()


if __name__ == "__main__":
    main()
