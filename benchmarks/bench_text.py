"""Time and memory to parse a text of 1 MB and to apply changed sections."""

import time
import tracemalloc
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from benchmarks._measurement import Measurement
from damaskrill.configuration import apply_sections, parse_text, split_sections
from damaskrill.utils import check_random_state

N_TEAMS = 44_000
N_SERVERS_LISTED = 300
N_SERVICES = 37
N_REPEATS = 5
# Width of team names with which 44,000 teams make up a text of nearly 1 MB.
TEAM_NAME_WIDTH = 14
US_PER_S = 1_000_000
MS_PER_S = 1_000


def build_content(random: Random) -> bytes:
    """Return a text of the target size."""
    lines = []
    for n in range(N_SERVICES):
        lines += [f"[service model-{n}]", f"model = model-{n}"]
        lines += [f"[backend_servers model-{n}]", "find = host_list"]
    for n in range(14):
        lines += [f"[data_centre dc-{n}]", f"region = region-{n % 4}"]
    for n in range(N_SERVERS_LISTED):
        lines += [f"[backend_server listed-{n}]", f"service = model-{n % N_SERVICES}"]
        lines += [f"address = 10.9.{n // 250}.{n % 250}:80"]
        lines += [f"data_centre = dc-{n % 14}"]
    lines.append("[teams]")
    for n in range(N_TEAMS):
        name = f"team-{n:0{TEAM_NAME_WIDTH - 5}}"
        lines.append(f"{name} = {random.randint(1, 99)} {random.randint(0, 9)}")
    return "\n".join([*lines, ""]).encode()


def change_one_team(content: bytes, n: int) -> bytes:
    """Return the text with a different share of one team."""
    name = f"team-{n:0{TEAM_NAME_WIDTH - 5}} =".encode()
    start = content.index(name)
    end = content.index(b"\n", start)
    return content[:start] + name + b" 77 3" + content[end:]


def best_time_s(call: Callable[[], Any]) -> float:
    """Return the minimum processor time of several calls, in seconds."""
    times = []
    for _ in range(N_REPEATS):
        start = time.process_time()
        call()
        times.append(time.process_time() - start)
    return min(times)


def measure(seed: int) -> Iterator[Measurement]:
    """Yield the measurements."""
    content = build_content(check_random_state(seed))
    parameters = {"n_teams": N_TEAMS, "n_bytes": len(content)}

    def build_measurement(measure: str, value: float, unit: str) -> Measurement:
        return Measurement(
            measure=measure,
            policy="product",
            value=value,
            unit=unit,
            seed=seed,
            parameters=parameters,
        )

    parse_s = best_time_s(lambda: parse_text(content, version=1))
    yield build_measurement("text_parse_time", parse_s * MS_PER_S, "ms")
    tracemalloc.start()
    text = parse_text(content, version=1)
    retained_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield build_measurement("text_memory_held", retained_bytes / 1e6, "MB")
    yield build_measurement("text_memory_peak_of_parse", peak_bytes / 1e6, "MB")
    before = split_sections(content)
    split_s = best_time_s(lambda: split_sections(content))
    yield build_measurement("text_split_time", split_s * MS_PER_S, "ms")
    after = split_sections(change_one_team(content, 4_711))
    changed = {key: part for key, part in after.items() if before.get(key) != part}
    yield build_measurement("text_delta_size", sum(map(len, changed.values())), "bytes")
    apply_s = best_time_s(lambda: apply_sections(text, changed, (), 2))
    yield build_measurement("text_delta_time_team", apply_s * US_PER_S, "microseconds")
    centre = {"data_centre dc-3": b"[data_centre dc-3]\nin_service = no\n"}
    apply_s = best_time_s(lambda: apply_sections(text, centre, (), 2))
    yield build_measurement(
        "text_delta_time_data_centre", apply_s * US_PER_S, "microseconds"
    )
