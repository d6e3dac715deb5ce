"""Stand-ins for the platform and for the backend servers of a text, on loopback.

Usage: ``python examples/quick_start/stand_ins.py TEXT ROUTER_ADDRESS...``. Serves the
text like the platform's configuration service, with a new version whenever the file
changes, and runs a fake for each backend server of the first version. Exits after 30
minutes.
"""

import asyncio
import sys
from pathlib import Path

from damaskrill.configuration import ServiceKind, parse_text
from damaskrill.fakes import (
    FakeConfigurationService,
    FakeEngine,
    FakeHostList,
    FakePlainService,
    HttpFakeEngine,
    HttpFakePlainService,
    HttpFakePlatform,
)
from damaskrill.messages import HostEntry
from damaskrill.runtime import run_in_reactor
from damaskrill.utils import SystemClock

PLATFORM_PORT = 18100
POLL_S = 0.1
LIFETIME_S = 1_800


def parse_port(address):
    """Return the port of an ``IP:port`` address."""
    return int(address.rpartition(":")[2])


def build_server(server, service, clock, reactor):
    """Return the stand-in for a backend server."""
    if service.kind is ServiceKind.PLAIN:
        plain = FakePlainService(name=server.name)
        return HttpFakePlainService(service=plain, reactor=reactor)
    engine = FakeEngine(
        name=server.name,
        bearable_load=server.bearable_load,
        cold_load=server.cold_load,
    )
    return HttpFakeEngine(engine=engine, clock=clock, reactor=reactor)


async def publish_changes(path, configuration):
    """Publish a new version of the text whenever the file changes."""
    content = path.read_bytes()
    for _ in range(int(LIFETIME_S / POLL_S)):
        await asyncio.sleep(POLL_S)
        if path.read_bytes() != content:
            content = path.read_bytes()
            print(f"text version {configuration.publish(content)}", flush=True)


async def run(path, router_addresses):
    """Start all stand-ins and publish changes for ``LIFETIME_S``."""
    from twisted.internet import reactor

    clock = SystemClock()
    content = path.read_bytes()
    text = parse_text(content, version=1)
    configuration, host_list = FakeConfigurationService(), FakeHostList(lag_ms=0)
    configuration.publish(content)
    hosts = tuple(
        HostEntry(address=address, data_centre="bole") for address in router_addresses
    )
    host_list.set_hosts(hosts, clock.now_ms)
    platform = HttpFakePlatform(
        configuration=configuration, host_list=host_list, clock=clock, reactor=reactor
    )
    platform.start(port=PLATFORM_PORT)
    for server in text.backend_servers.values():
        service = text.services[server.service]
        stand_in = build_server(server, service, clock, reactor)
        stand_in.start(port=parse_port(server.address))
    print(f"platform and {len(text.backend_servers)} backend servers", flush=True)
    await publish_changes(path, configuration)
    return 0


def main():
    """Run the stand-ins with the arguments of the command line."""
    path, *router_addresses = sys.argv[1:]
    return run_in_reactor(run(Path(path), router_addresses))


if __name__ == "__main__":
    sys.exit(main())
