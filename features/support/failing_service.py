"""Router processes before servers that fail each read, and callers that count."""

import asyncio
import itertools
import os
import tempfile
import threading
import time
from pathlib import Path
from random import Random

from damaskrill.fakes.platform import Misbehaviour
from damaskrill.soak._repeats import RepeatBudget, find_worst_window
from damaskrill.soak._routers import RouterProcesses
from damaskrill.soak._run import PORTS, loopback_network
from features.support.gateways import Caller, GatewayTestbed, build_request

SERVICE = "app"
N_SERVERS = 3
SUPERVISION_S = 0.02
# Attempts of a caller to reach some router.
MAX_CONNECTS = 5
CONNECT_S = 0.3
READY_S = 30
_networks = itertools.count()


class FailingService:
    """Routers as processes, a service whose servers answer each read with 500."""

    def __init__(self, *, n_routers, random_state=1):
        self._random = Random(random_state)
        self.testbed = GatewayTestbed()
        self.testbed.configure()
        for number in range(N_SERVERS):
            self.testbed.add_server(f"a-{number}", SERVICE)
            self.testbed.servers[f"a-{number}"].misbehaviour = Misbehaviour.ERROR
        network = loopback_network(os.getpid() + 7 * next(_networks))
        self.folder = Path(tempfile.mkdtemp(prefix="damaskrill-repeats-"))
        self.routers = RouterProcesses(
            folder=self.folder,
            hosts=[f"{network}.{n + 1}" for n in range(n_routers)],
            ports=PORTS,
            store=self.testbed.store.address,
        )
        self.n_routers = n_routers
        self.sent_at = []
        self._is_closed = False
        self._lock = threading.Lock()
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)
        self._supervisor.start()

    def _supervise(self):
        while not self._is_closed:
            with self._lock:
                self.routers.supervise()
            time.sleep(SUPERVISION_S)

    def wait_until_ready(self):
        """Wait until each router serves a configuration."""
        for address in self.routers.addresses:
            assert self.testbed.wait_for(
                lambda address=address: self.testbed.call(self._is_ready, address),
                timeout_s=READY_S,
            )

    async def _is_ready(self, address):
        try:
            caller = await Caller.open((address[0], PORTS[1]))
        except OSError:
            return False
        data, _ = build_request("/damaskrill/readiness", method="GET", body=b"")
        caller.send(data)
        reply = await caller.read_reply()
        caller.close()
        return reply.status == 200

    def play(self, *, seconds, per_s, disturb, interval_s):
        """Send reads at a rate while routers are disturbed one after the other.

        Parameters
        ----------
        seconds : float
            Time for which reads are sent.
        per_s : float
            Reads a second.
        disturb : callable
            Disturbs a router, given its number.
        interval_s : float
            Time between two disturbances.
        """
        begun_at = time.monotonic()
        sending = threading.Thread(
            target=self.testbed.call, args=(self._send_reads, seconds, per_s)
        )
        sending.start()
        for number in itertools.count():
            if time.monotonic() - begun_at >= seconds:
                break
            with self._lock:
                disturb(self.routers, number)
            time.sleep(min(interval_s, max(0.0, begun_at + seconds - time.monotonic())))
        sending.join()

    async def _send_reads(self, seconds, per_s):
        loop = asyncio.get_running_loop()
        begun_at, tasks = time.monotonic(), []
        for number in range(int(seconds * per_s)):
            delay_s = begun_at + number / per_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            tasks.append(loop.create_task(self._send_read()))
        await asyncio.gather(*tasks)

    async def _send_read(self):
        for _ in range(MAX_CONNECTS):
            address = self._random.choice(self.routers.addresses)
            try:
                async with asyncio.timeout(CONNECT_S):
                    caller = await Caller.open(address)
            except (OSError, TimeoutError):
                continue
            self.sent_at.append(time.monotonic())
            caller.send(build_request("/read/1", method="GET", body=b"")[0])
            await caller.read_reply()
            caller.close()
            return

    def find_worst_window(self, **changes):
        """Return the window in which most repeats are over the budget."""
        arrivals = [
            arrival
            for server in self.testbed.servers.values()
            for arrival in server.arrivals
        ]
        return find_worst_window(self.sent_at, arrivals, RepeatBudget(**changes))

    def close(self):
        """End all routers, and the servers."""
        self._is_closed = True
        self._supervisor.join()
        self.routers.kill_all()
        self.testbed.close()
