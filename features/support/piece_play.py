"""Plays of router processes under planned work and broken answers.

Run one by hand with ``python -m features.support.piece_play --play stops --seed 1``.
"""

import argparse
import json
import os
import sys
import threading
import time
from random import Random

from attrs import define, field

from damaskrill.fakes.platform import StoreMode, build_configuration
from damaskrill.soak._path_cuts import find_ports
from features.support.fleet_processes import FleetProcesses
from features.support.gateways import Caller, GatewayTestbed, build_request
from features.support.piece_callers import Callers, find_last_number
from features.support.piece_checks import Judge
from features.support.piece_servers import Faults, PieceServer

PORTS = (9000, 9001, 9002)
SUPERVISION_S = 0.02
READY_S = 30
GRACE_S = 8
IDLE_MS = 2_000
# The balancer learns within this time that a router stops.
OUT_AFTER_S = 2.0
# Time after a play in which requests may end.
PATIENCE_S = 18
LIMIT_SLACK_S = 10


@define(kw_only=True)
class Play:
    """What happens to routers and servers, one event each `interval_s` seconds."""

    interval_s: float = 0.9
    events: tuple = ()
    faults: Faults = field(factory=Faults)
    # Servers of each service, by version.
    versions: tuple = ("v1", "v1", "v1", "v1")
    # Slots of each server; any number if 0.
    n_slots: int = 0


PLAYS = {
    "stops": Play(events=("stop", "stop", "stop again", "reload", "version")),
    "stops without store": Play(events=("stop", "store", "stop", "reload")),
    "broken stops": Play(
        events=("stop", "stop again", "reload", "version"),
        faults=Faults(
            breaks=0.15, closes=0.1, unframed=0.15, early_closes=0.2, late_resets=0.05
        ),
    ),
    "breaks": Play(
        events=("reload", "version"),
        faults=Faults(breaks=0.35, closes=0.1, unframed=0.2, late_resets=0.1),
    ),
    "idle closes": Play(
        events=("reload", "version", "store"),
        faults=Faults(early_closes=0.5, closes=0.2, late_resets=0.1),
    ),
    "silences": Play(
        events=("stop", "version"),
        faults=Faults(silences=0.25, breaks=0.1, full=0.05),
    ),
    "cuts": Play(events=("cut", "cut", "stop")),
    "cuts and kills": Play(events=("cut", "cut", "kill")),
    "slots": Play(
        events=("stop", "stop again", "version", "server"),
        n_slots=8,
    ),
    "slots and kills": Play(
        events=("kill", "stop", "pause", "server"),
        faults=Faults(breaks=0.05, early_closes=0.1),
        n_slots=8,
    ),
    "servers": Play(
        interval_s=0.6,
        events=("server", "server", "zone", "stop", "version", "reload"),
        faults=Faults(early_closes=0.1, closes=0.1),
    ),
    "versions": Play(
        events=("kill", "pause", "stop", "history"),
        faults=Faults(breaks=0.35, silences=0.1, closes=0.1, unframed=0.1),
        versions=("v1", "v1", "v2", "v2"),
    ),
}


CUT_S = 4.0


class PieceFleet:
    """Router processes before stand-in servers."""

    def __init__(self, *, n_routers, play, seed):
        self._random = Random(seed)
        self._play = play
        self._version = 1
        self.testbed = GatewayTestbed()
        self.testbed.call(self.testbed.store.put, "op/config", self._configuration())
        self.servers = []
        self._entries = {}
        for service in ("pool", "app"):
            for number, version in enumerate(play.versions):
                self._add_server(f"{service}-{number}", service, version)
        network = f"127.{100 + os.getpid() % 100}.{seed % 250}"
        self.routers = FleetProcesses(
            hosts=[f"{network}.{number + 1}" for number in range(n_routers)],
            ports=PORTS,
            store=self.testbed.store.address,
            grace_s=GRACE_S,
        )
        self.callers = Callers(
            addresses=self.routers.addresses,
            random=Random(seed + 1),
            idle_ms=IDLE_MS,
        )
        self.callers.is_out = self._is_out
        self.actions = []
        self._cut = []
        self._is_closed = False
        self._lock = threading.Lock()
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)
        self._supervisor.start()

    def _configuration(self):
        content = build_configuration(version=self._version)
        routes = {each["name"]: each for each in content["routes"]}
        streams = routes["r-chat"]
        routes["r-chat"] = {**streams, "timeoutMs": 15_000, "maxAttempts": 1}
        routes["r-check"] = {**routes["r-check"], "timeoutMs": 6_000}
        routes["r-dossier"] = {
            **streams,
            "name": "r-dossier",
            "prefix": "/dossier/",
            "timeoutMs": 5_000,
            "maxAttempts": 1,
        }
        for name in ("r-issue", "r-read"):
            routes[name] = {**routes[name], "timeoutMs": 800}
        content["routes"] = list(routes.values())
        content["limits"]["idleTimeoutMs"] = IDLE_MS
        return content

    def _add_server(self, server_id, service, version):
        server = PieceServer(
            server_id=server_id,
            version=version,
            random=Random(self._random.random()),
            faults=self._play.faults,
            n_slots=self._play.n_slots,
        )
        server.is_cut = self._is_cut
        address = self.testbed.call(server.start)
        self.servers.append(server)
        entry = {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": ("bole", "kality", "sululta")[len(self.servers) % 3],
            "version": version,
            "slotCount": self._play.n_slots or 16,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_000,
        }
        self._entries[server_id] = entry
        self.testbed.call(self.testbed.store.put_server, server_id, entry)

    def _change_server(self):
        """Let a server leave, or one that has left be ready again."""
        server_id = self._random.choice(sorted(self._entries))
        entry = self._entries[server_id]
        left = [e for e in self._entries.values() if e["state"] != "ready"]
        state = "ready"
        if entry["state"] == "ready" and len(left) < 2:
            state = "draining"
        self._entries[server_id] = entry = {**entry, "state": state}
        self.testbed.call(self.testbed.store.put_server, server_id, entry)

    def _is_cut(self, port):
        # Reading the tables of all processes takes long; mostly none is cut off.
        processes = [self.routers.routers[number].process for number in self._cut]
        return any(each and port in find_ports(each.pid) for each in processes)

    def _is_out(self, number):
        router = self.routers.routers[number]
        since = router.stopping_since
        is_stopping = bool(since) and time.monotonic() - since > OUT_AFTER_S
        return router.process is None or is_stopping

    def _supervise(self):
        while not self._is_closed:
            with self._lock:
                self.routers.supervise()
            time.sleep(SUPERVISION_S)

    def wait_until_ready(self):
        """Wait until each router is ready."""
        for host, _ in self.routers.addresses:
            assert self.testbed.wait_for(
                lambda host=host: self.testbed.call(self._is_ready, host),
                timeout_s=READY_S,
            )

    async def _is_ready(self, host):
        try:
            caller = await Caller.open((host, PORTS[1]))
        except OSError:
            return False
        data, _ = build_request("/damaskrill/readiness", method="GET", body=b"")
        caller.send(data)
        reply = await caller.read_reply()
        caller.close()
        return reply.status == 200

    def run(self, *, seconds, n_callers, patience_s=PATIENCE_S):
        """Play, and return the judge of what was seen."""
        calls = self.callers.run(n_callers, seconds=seconds, patience_s=patience_s)
        limit_s = seconds + patience_s + LIMIT_SLACK_S
        calling = threading.Thread(
            target=self.testbed.thread.run, args=(calls, limit_s)
        )
        calling.start()
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            time.sleep(self._play.interval_s * self._random.uniform(0.5, 1.5))
            if self._play.events:
                with self._lock:
                    self._act(self._random.choice(self._play.events))
        self.testbed.call(setattr, self.testbed.store, "mode", StoreMode.GOOD)
        calling.join()
        return Judge(
            exchanges=self.callers.exchanges,
            runs=[run for server in self.servers for run in server.runs],
            routers=self.routers.routers,
            grace_s=GRACE_S,
        )

    def _act(self, event):
        number = self._random.randrange(len(self.routers.routers))
        self.actions.append((time.monotonic(), event, number))
        store = self.testbed.store
        match event:
            case "stop":
                self.routers.stop(number)
            case "stop again":
                for each, router in enumerate(self.routers.routers):
                    if router.stopping_since:
                        self.routers.reload(each)
                        self.routers.stop(each)
                        self.routers.reload(each)
            case "reload":
                self.routers.reload(number)
            case "version":
                self._version += 1
                self.testbed.call(store.put, "op/config", self._configuration())
            case "store":
                is_good = store.mode is StoreMode.GOOD
                modes = (StoreMode.SILENT, StoreMode.RESET, StoreMode.BUSY)
                mode = self._random.choice(modes) if is_good else StoreMode.GOOD
                self.testbed.call(setattr, store, "mode", mode)
            case "history":
                self.testbed.call(store.discard_history)
            case "server":
                self._change_server()
            case "zone":
                self.testbed.call(store.evacuate, "kality")
                cancel = [store.cancel_evacuation, "kality"]
                threading.Timer(1.5, self.testbed.call, cancel).start()
            case "cut":
                self._cut.append(number)
                threading.Timer(CUT_S, self._cut.remove, [number]).start()
                process = self.routers.routers[number].process
                # The open connections of the others live on.
                if process is not None and self._random.random() < 0.5:
                    ports = find_ports(process.pid)
                    for server in self.servers:
                        self.testbed.call(server.reset_ports, ports)
            case "kill":
                self.routers.kill(number)
            case "pause":
                self.routers.pause(number)
                delay_s = self._random.uniform(0.5, 2.5)
                threading.Timer(delay_s, self._resume, [number]).start()

    def _resume(self, number):
        with self._lock:
            self.routers.resume(number)

    def close(self):
        """End all processes and servers."""
        self._is_closed = True
        self._supervisor.join()
        self.routers.close()
        for server in self.servers:
            self.testbed.call(server.close)
        self.testbed.close()


def main():
    """Run one play, and print its figures and violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--play", choices=PLAYS, default="stops")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--callers", type=int, default=40)
    args = parser.parse_args()
    fleet = PieceFleet(n_routers=args.routers, play=PLAYS[args.play], seed=args.seed)
    try:
        fleet.wait_until_ready()
        judge = fleet.run(seconds=args.seconds, n_callers=args.callers)
    finally:
        fleet.close()
    violations = judge.find_violations()
    print(json.dumps({"play": args.play, "seed": args.seed, **judge.summarize()}))
    for each in violations:
        exchange = each.exchange
        print(each.rule, each.detail, exchange.kind.name, exchange.request_id)
        print("   ", _describe(exchange))
        print("   ", judge.runs_of(exchange))
    for number, router in enumerate(fleet.routers.routers):
        for at, status, is_planned in router.ends:
            if status and not (status == -9 and router.disruptions):
                print("router", number, "ended", status, is_planned, at)
    if violations:
        print("logs:", fleet.routers.folder)
    else:
        fleet.routers.discard_logs()
    return 1 if violations else 0


def _describe(exchange):
    return {
        "router": exchange.router,
        "n_before": exchange.n_before,
        "status": exchange.status,
        "end": exchange.end,
        "sent_at": exchange.sent_at,
        "ended_at": exchange.ended_at,
        "resumed_after": exchange.resumed_after,
        "pieces": (find_last_number(exchange.body), exchange.n_pieces),
    }


if __name__ == "__main__":
    sys.exit(main())
