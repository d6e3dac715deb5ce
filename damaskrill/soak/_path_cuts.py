"""Cuts of the path from one router to all backend servers."""

import contextlib
import os
import time

from damaskrill.soak._disruptions import RECONNECT_S, Disruptions
from damaskrill.soak._plan import Fault
from damaskrill.soak._routers import RouterProcesses
from damaskrill.soak._schedule import Schedule
from damaskrill.soak._servers import ServerFleet

__all__ = ["PathCuts"]

# Fields of a row of the kernel's table of connections.
PORT_FIELD, INODE_FIELD = 1, 9


class PathCuts:
    """Cuts routers off from all servers, while callers and peers reach them.

    Parameters
    ----------
    fleet : ServerFleet
        The servers.
    routers : RouterProcesses
        The routers.
    disruptions : Disruptions
        Record of the faults.
    schedule : Schedule
        Ends of the cuts.

    Notes
    -----
    All routers come from the same address, so that a connection is known by the process
    that owns its port.
    """

    def __init__(
        self,
        *,
        fleet: ServerFleet,
        routers: RouterProcesses,
        disruptions: Disruptions,
        schedule: Schedule,
    ) -> None:
        self._fleet = fleet
        self._routers = routers
        self._disruptions = disruptions
        self._schedule = schedule
        self._cut: list[int] = []
        fleet.is_cut = self._is_cut

    def begin(self, fault: Fault) -> None:
        """Cut a router off; its open connections are reset, or live on."""
        number = fault.target % len(self._routers.addresses)
        now = time.monotonic()
        ends_at = now + fault.duration_s + RECONNECT_S
        self._disruptions.record_cut(number, now, ends_at)
        self._cut.append(number)
        self._schedule.call_later(fault.duration_s, lambda: self._cut.remove(number))
        process_id = self._routers.process_id(number)
        if fault.target % 2 and process_id is not None:
            ports = find_ports(process_id)
            for proxy in self._fleet.proxies:
                proxy.reset_clients(ports)

    def _is_cut(self, port: int) -> bool:
        processes = (self._routers.process_id(number) for number in self._cut)
        return any(each and port in find_ports(each) for each in processes)


def find_ports(process_id: int) -> set[int]:
    """Return the ports of the TCP connections that a process has open."""
    folder = f"/proc/{process_id}"
    inodes = set()
    try:
        for name in os.listdir(f"{folder}/fd"):
            # It may be closed meanwhile.
            with contextlib.suppress(FileNotFoundError):
                inodes.add(os.readlink(f"{folder}/fd/{name}"))
        with open(f"{folder}/net/tcp", encoding="ascii") as table:
            rows = [line.split() for line in table][1:]
    except OSError:
        # The process has ended meanwhile.
        return set()
    return {
        int(row[PORT_FIELD].rpartition(":")[2], 16)
        for row in rows
        if f"socket:[{row[INODE_FIELD]}]" in inodes
    }
