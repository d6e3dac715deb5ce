"""Faults of the fault matrix, each as a function that injects it."""

from damaskrill.messages import Member

# Actions with a key are refused while their owners are too new to know all earlier
# keys; the load starts after that.
WORK_START_MS = 33_000
FAULT_MS = 36_000
LAST_FAULT_MS = 50_000
HEAL_MS = 62_000
WORK_END_MS = 68_000
END_MS = 130_000

# Faults during which a new text cannot reach every router in time.
DELAYING_FAULTS = frozenset(
    {
        "configuration down",
        "configuration stale",
        "pause",
        "partition of routers",
        "silent connections",
        "host fails",
        "host flaps",
    }
)


def build_fleet_text(*, out=(), leaving=(), marker=0):
    """Return the operators' text of the fault matrix."""
    lines = ["[limits]", f"max_queue_length = {60 + marker}", ""]
    lines += ["[service dossier-review]", "kind = engine", ""]
    lines += ["[service issuance]", "kind = plain", "repeatable = no", ""]
    for centre in ("bole", "kazanchis", "sarbet"):
        state = "no" if centre in out else "yes"
        lines += [f"[data_centre {centre}]", f"in_service = {state}", ""]
    centres = ("bole", "kazanchis", "sarbet", "bole", "kazanchis")
    for n, centre in enumerate(centres, start=1):
        lines += _build_server_lines(
            f"engine-{n}", "dossier-review", n, centre, leaving
        )
    for n, centre in enumerate(("bole", "kazanchis", "sarbet"), start=11):
        lines += _build_server_lines(f"issuance-{n}", "issuance", n, centre, leaving)
    return "\n".join(lines).encode()


def _build_server_lines(name, service, n, centre, leaving):
    lines = [f"[backend_server {name}]", f"service = {service}"]
    lines += [f"address = 10.1.0.{n}:8000", f"data_centre = {centre}"]
    lines += ["bearable_load = 12", "cold_load = 2"]
    if name in leaving:
        lines.append("leaving = yes")
    return [*lines, ""]


def build_fleet_members():
    """Return five routers in three data centres."""
    centres = ("bole", "kazanchis", "sarbet", "bole", "kazanchis")
    return [
        Member(address=f"10.0.0.{n}:7000", data_centre=centre, incarnation=f"p{n}a")
        for n, centre in enumerate(centres, start=1)
    ]


def _pick_address(pump, random):
    return random.choice(sorted(pump.routers))


def _build_replacement(pump, address, suffix):
    old = pump.routers[address].member
    return Member(
        address=address,
        data_centre=old.data_centre,
        incarnation=f"{old.incarnation}{suffix}",
    )


def host_fails(pump, workload, random):
    address = _pick_address(pump, random)
    if pump.routers[address].alive and len(pump.live_routers) > 2:
        pump.kill_router(address)
        delay_ms = random.randint(500, 8_000)
        pump.after(
            delay_ms, lambda: pump.start_router(_build_replacement(pump, address, "b"))
        )


def host_flaps(pump, workload, random):
    address = _pick_address(pump, random)

    def restart(n):
        if pump.routers[address].alive and len(pump.live_routers) > 2:
            pump.kill_router(address)
            pump.after(
                700,
                lambda: pump.start_router(_build_replacement(pump, address, f"f{n}")),
            )

    for n in range(3):
        pump.after(n * 2_500, lambda n=n: restart(n))


def host_joins(pump, workload, random):
    n = 20 + random.randrange(100)
    member = Member(
        address=f"10.0.0.{n}:7000", data_centre="sarbet", incarnation=f"p{n}j"
    )
    pump.start_router(member)


def host_leaves(pump, workload, random):
    address = _pick_address(pump, random)
    router = pump.routers[address]
    if router.alive and router.stop_requested_at_ms < 0 and len(pump.live_routers) > 2:
        pump.stop_router(address)


def lists_disagree(pump, workload, random):
    for address in sorted(pump.routers):
        pump.list_lag_by_router[address] = random.choice((0, 4_000, 9_000))


def surge(pump, workload, random):
    workload.surge("team-3", 8_000)


def server_cold(pump, workload, random):
    pump.restart_server(random.choice(sorted(pump.engines)))


def server_flaps(pump, workload, random):
    name = random.choice(sorted(pump.engines))
    for n in range(4):
        pump.after(n * 1_500, lambda: pump.restart_server(name))


def configuration_down(pump, workload, random):
    pump.configuration.is_down = True
    pump.after(9_000, lambda: setattr(pump.configuration, "is_down", False))


def configuration_stale(pump, workload, random):
    pump.configuration.serve_stale(1)
    pump.after(9_000, lambda: pump.configuration.serve_stale(0))


def pause(pump, workload, random):
    duration_ms = random.choice((1_000, 3_000, 10_000, 60_000))
    pump.pause_router(_pick_address(pump, random), duration_ms)


def partition_routers(pump, workload, random):
    addresses = sorted(pump.routers)
    pump.partition(random.sample(addresses, random.randint(1, 2)))
    pump.after(8_000, pump.heal)


def partition_servers(pump, workload, random):
    address = _pick_address(pump, random)
    for name in sorted(pump.engines):
        pump.cut_servers.add((address, name))
    pump.after(6_000, pump.cut_servers.clear)


def silent_connections(pump, workload, random):
    a, b = random.sample(sorted(pump.routers), 2)
    pump.silence_link(a, b)


def data_centre_out(pump, workload, random):
    centre = random.choice(("bole", "kazanchis", "sarbet"))
    pump.publish(build_fleet_text(out=(centre,)))
    pump.after(9_000, lambda: pump.publish(build_fleet_text(marker=1)))


def server_leaves(pump, workload, random):
    pump.publish(build_fleet_text(leaving=(f"engine-{random.randint(1, 5)}",)))


FAULTS = {
    "host fails": host_fails,
    "host joins": host_joins,
    "host leaves": host_leaves,
    "host flaps": host_flaps,
    "lists disagree": lists_disagree,
    "surge": surge,
    "server cold": server_cold,
    "server flaps": server_flaps,
    "configuration down": configuration_down,
    "configuration stale": configuration_stale,
    "pause": pause,
    "partition of routers": partition_routers,
    "partition of servers": partition_servers,
    "silent connections": silent_connections,
    "data centre out": data_centre_out,
    "server leaves": server_leaves,
}


def heal_everything(pump):
    """End all faults that do not end by themselves."""
    pump.heal()
    pump.configuration.is_down = False
    pump.configuration.serve_stale(0)
    pump.list_lag_by_router.clear()
