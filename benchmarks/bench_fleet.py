"""Control traffic, its processor time and text propagation by fleet size."""

from collections.abc import Iterator

from benchmarks._fleet import ControlFleet, build_control_text
from benchmarks._measurement import Measurement
from damaskrill.control import ControlClass, wire_size
from damaskrill.propagation import TextStore

SIZES = (8, 32, 128, 330)
WARM_UP_MS = 14_000
MEASURED_MS = 12_000
CHANGE_INTERVAL_MS = 4_000
STEP_MS = 100
SERVERS_PER_MEMBER = 2
# Maximum number of servers in a text of 1 MB with sections of this length.
N_SERVERS_OF_LARGE_TEXT = 8_500
POLICY = "damaskrill"
BYTES_LIMIT = 5_000
PROCESSOR_LIMIT_PERCENT = 2.1
PROPAGATION_LIMIT_MS = 7_000


def measure(seed: int) -> Iterator[Measurement]:
    """Yield measurements for all fleet sizes and their slopes."""
    bytes_by_size: dict[int, float] = {}
    share_by_size: dict[int, float] = {}
    for n_members in SIZES:
        for measurement in _measure_size(n_members, seed):
            if measurement.measure == "control_bytes_per_router_and_second":
                bytes_by_size[n_members] = measurement.value
            if measurement.measure == "control_processor_share":
                share_by_size[n_members] = measurement.value
            yield measurement
    yield _slope("control_bytes_slope", bytes_by_size, "bytes/s/router", seed)
    yield _slope("control_processor_slope", share_by_size, "percent/router", seed)
    yield from _measure_delta(seed)


def _measure_size(n_members: int, seed: int) -> Iterator[Measurement]:
    fleet = ControlFleet(
        n_members=n_members,
        n_servers=SERVERS_PER_MEMBER * n_members,
        random_state=seed,
    )
    fleet.run_until(WARM_UP_MS)
    bytes_before = fleet.n_bytes()
    by_router_before = fleet.n_bytes_by_router()
    calls_before, seconds_before = fleet.n_calls, fleet.decide_time_s
    dropped_before = fleet.n_dropped()
    propagation_ms = _publish_and_wait(fleet)
    seconds = MEASURED_MS / 1_000
    parameters = {"n_members": n_members}

    def build_measurement(
        name: str, value: float, unit: str, **more: object
    ) -> Measurement:
        return Measurement(
            measure=name,
            policy=POLICY,
            value=round(value, 3),
            unit=unit,
            seed=seed,
            parameters={**parameters, **more},
        )

    bytes_after = fleet.n_bytes()
    total = 0.0
    for each in ControlClass:
        rate = (bytes_after[each] - bytes_before[each]) / n_members / seconds
        total += rate
        name = each.name.lower()
        yield build_measurement(
            "control_bytes_by_class", rate, "bytes/s", control_class=name
        )
    by_router = [
        (after - before) / seconds
        for after, before in zip(fleet.n_bytes_by_router(), by_router_before)
    ]
    yield build_measurement(
        "control_bytes_per_router_and_second", total, "bytes/s", limit=BYTES_LIMIT
    )
    yield build_measurement(
        "control_bytes_of_busiest_router", max(by_router), "bytes/s"
    )
    n_dropped = fleet.n_dropped() - dropped_before
    yield build_measurement(
        "control_messages_dropped", n_dropped / n_members / seconds, "1/s"
    )
    share = (fleet.decide_time_s - seconds_before) / n_members / seconds * 100
    yield build_measurement(
        "control_processor_share", share, "percent", limit=PROCESSOR_LIMIT_PERCENT
    )
    yield build_measurement(
        "text_in_force_everywhere",
        max(propagation_ms),
        "ms",
        limit=PROPAGATION_LIMIT_MS,
    )
    calls = (fleet.n_calls - calls_before) / seconds
    yield build_measurement("configuration_service_calls", calls, "1/s")


def _publish_and_wait(fleet: ControlFleet) -> list[int]:
    pending: dict[int, int] = {}
    propagation_ms: list[int] = []
    end_ms = fleet.now_ms + MEASURED_MS
    next_ms = fleet.now_ms
    while fleet.now_ms < end_ms:
        if fleet.now_ms >= next_ms and fleet.now_ms < end_ms - CHANGE_INTERVAL_MS:
            fleet.publish()
            pending[fleet.version] = fleet.now_ms
            next_ms += CHANGE_INTERVAL_MS
        fleet.run_until(fleet.now_ms + STEP_MS)
        lowest = min(fleet.active_versions())
        for version in [each for each in pending if each <= lowest]:
            propagation_ms.append(fleet.now_ms - pending.pop(version))
    # A version that is not active everywhere by the end counts with its age.
    propagation_ms.extend(fleet.now_ms - at_ms for at_ms in pending.values())
    return propagation_ms


def _slope(name: str, by_size: dict[int, float], unit: str, seed: int) -> Measurement:
    low, high = min(by_size), max(by_size)
    slope = (by_size[high] - by_size[low]) / (high - low)
    return Measurement(
        measure=name,
        policy=POLICY,
        value=round(slope, 5),
        unit=unit,
        seed=seed,
        parameters={"from_members": low, "to_members": high},
    )


def _measure_delta(seed: int) -> Iterator[Measurement]:
    store = TextStore()
    store.apply_full_text(build_control_text(N_SERVERS_OF_LARGE_TEXT, 0), 1)
    full_text = build_control_text(N_SERVERS_OF_LARGE_TEXT, 1)
    store.apply_full_text(full_text, 2)
    parameters = {"n_servers": N_SERVERS_OF_LARGE_TEXT}
    sizes = {
        "text_whole": len(full_text),
        "text_delta_of_one_change": wire_size(store.delta_since(1)),
    }
    for name, n_bytes in sizes.items():
        yield Measurement(
            measure=name,
            policy=POLICY,
            value=n_bytes,
            unit="bytes",
            seed=seed,
            parameters=parameters,
        )
