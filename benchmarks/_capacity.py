"""Render docs/CAPACITY.md from a template and the stored measurements.

Notes
-----
A value without a stored measurement is rendered as "not measured"; no value
is estimated. Each placeholder of the template is a key of ``compute_values``.
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from attrs import frozen

from benchmarks._results import StoredMeasurement, format_value
from benchmarks._sweep import render_sweeps

__all__ = ["NOT_MEASURED", "Target", "compute_values", "render_capacity"]

TEMPLATE_PATH = Path(__file__).resolve().parent / "capacity.template.md"
NOT_MEASURED = "**not measured**"
US_PER_S = 1_000_000
MS_PER_S = 1_000
KB_PER_MB = 1_000
BYTES_PER_KB = 1_000
SECONDS_PER_DAY = 86_400
PERCENT = 100
TICKS_PER_S = 10
# Maximum number of load reports that an owner reads per second, independent of the
# number of servers that it owns.
REPORTS_PER_S = 10
# Concurrent streams of the run from which the cost of relaying is taken; the target
# has 362.
N_STREAMS_MEASURED = 200
# Kernel inputs per request. Entry: arrival, start and end of the attempt. Owner: offer,
# first token and end of the answer.
INPUTS_PER_REQUEST = 6


@frozen(kw_only=True)
class Target:
    """Target size of the fleet, from the requirements."""

    n_nodes: int = 330
    n_servers: int = 11_000
    requests_per_s: float = 7_800.0
    tokens_per_s: float = 3_700_000.0
    first_token_ms: float = 630.0
    between_tokens_ms: float = 31.0
    n_chats: int = 10_000_000
    n_teams: int = 44_000
    n_regions: int = 4
    n_data_centres: int = 14
    changes_per_day: int = 21_000
    propagation_ms: int = 7_000
    restarts_per_day: int = 1_200
    failures_per_day: int = 200
    control_core_percent: float = 2.1
    control_mb: float = 64.0
    control_bytes_per_s: float = 5_000.0

    @property
    def requests_per_node(self) -> float:
        """Requests per second that a node handles as entry, and again as owner."""
        return self.requests_per_s / self.n_nodes

    @property
    def tokens_per_node(self) -> float:
        """Tokens per second that a node relays as entry, and again as owner."""
        return self.tokens_per_s / self.n_nodes

    @property
    def servers_per_node(self) -> float:
        """Number of backend servers that a node owns."""
        return self.n_servers / self.n_nodes

    @property
    def open_requests(self) -> float:
        """Concurrent requests in the fleet, by Little's law."""
        tokens_per_request = self.tokens_per_s / self.requests_per_s
        duration_ms = self.first_token_ms + tokens_per_request * self.between_tokens_ms
        return self.requests_per_s * duration_ms / MS_PER_S

    @property
    def streams_per_node(self) -> float:
        """Concurrent answers that a node relays as entry, and again as owner."""
        return self.open_requests / self.n_nodes


class _MeasurementIndex:
    """Stored measurements, searchable by measure and parameters."""

    def __init__(self, results: Sequence[StoredMeasurement]) -> None:
        self._measurements = [each.measurement for each in results]

    def find(self, measure: str, policy: str = "", **parameters: Any) -> float | None:
        """Return the first value with matching parameters; None if there is none."""
        for measurement in self._measurements:
            fits = measurement.measure == measure and policy in ("", measurement.policy)
            if fits and all(
                measurement.parameters.get(name) == value
                for name, value in parameters.items()
            ):
                return measurement.value
        return None


def _format_quantity(value: float | None, unit: str) -> str:
    if value is None:
        return NOT_MEASURED
    return f"{format_value(float(f'{value:.3g}'))} {unit}".strip()


def _scale(value: float | None, factor: float) -> float | None:
    return None if value is None else value * factor


def _target_values(target: Target) -> dict[str, str]:
    lost_share = PERCENT / target.n_data_centres
    remaining = target.n_data_centres / (target.n_data_centres - 1)
    return {
        "n_nodes": f"{target.n_nodes:,}",
        "n_servers": f"{target.n_servers:,}",
        "n_chats": f"{target.n_chats:,}",
        "n_teams": f"{target.n_teams:,}",
        "requests_per_node": _format_quantity(target.requests_per_node, "/s"),
        "tokens_per_node": _format_quantity(target.tokens_per_node, "/s"),
        "servers_per_node": _format_quantity(target.servers_per_node, ""),
        "open_requests": _format_quantity(target.open_requests, ""),
        "streams_per_node": _format_quantity(target.streams_per_node, ""),
        "seconds_per_change": _format_quantity(
            SECONDS_PER_DAY / target.changes_per_day, "s"
        ),
        "seconds_per_restart": _format_quantity(
            SECONDS_PER_DAY / target.restarts_per_day, "s"
        ),
        "nodes_per_data_centre": _format_quantity(
            target.n_nodes / target.n_data_centres, ""
        ),
        "servers_per_data_centre": _format_quantity(
            target.n_servers / target.n_data_centres, ""
        ),
        "lost_share": _format_quantity(lost_share, "%"),
        "remaining_load": _format_quantity((remaining - 1) * PERCENT, "%"),
        "report_interval": _format_quantity(
            target.servers_per_node / REPORTS_PER_S, "s"
        ),
        "nodes_per_region": _format_quantity(target.n_nodes / target.n_regions, ""),
    }


def _entry_values(index: _MeasurementIndex, target: Target) -> dict[str, str]:
    per_request_us = index.find("entry_time_per_request", n_servers=target.n_servers)
    per_open_kb = index.find(
        "entry_memory_per_open_request", n_servers=target.n_servers
    )
    core_percent = target.requests_per_node / US_PER_S * PERCENT
    return {
        "entry_us": _format_quantity(per_request_us, "us"),
        "entry_core": _format_quantity(
            _scale(per_request_us, core_percent), "% of a core"
        ),
        "entry_open_kb": _format_quantity(per_open_kb, "KB"),
        "entry_open_mb": _format_quantity(
            _scale(per_open_kb, target.streams_per_node / KB_PER_MB), "MB"
        ),
        "view_mb": _format_quantity(
            index.find("view_memory", n_servers=target.n_servers), "MB"
        ),
    }


def _owner_values(index: _MeasurementIndex, target: Target) -> dict[str, str]:
    per_attempt_us = index.find("owner_time_per_attempt", n_servers=target.n_servers)
    per_tick_us = index.find("owner_time_per_tick", n_servers=target.n_servers)
    core_percent = target.requests_per_node / US_PER_S * PERCENT
    tick_percent = TICKS_PER_S / US_PER_S * PERCENT
    return {
        "owner_us": _format_quantity(per_attempt_us, "us"),
        "owner_core": _format_quantity(
            _scale(per_attempt_us, core_percent), "% of a core"
        ),
        "tick_us": _format_quantity(per_tick_us, "us"),
        "tick_core": _format_quantity(_scale(per_tick_us, tick_percent), "% of a core"),
    }


def _text_values(index: _MeasurementIndex, target: Target) -> dict[str, str]:
    delta_us = index.find("text_delta_time_team")
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    return {
        "text_mb": _format_quantity(index.find("text_memory_held"), "MB"),
        "text_peak_mb": _format_quantity(index.find("text_memory_peak_of_parse"), "MB"),
        "text_parse_ms": _format_quantity(index.find("text_parse_time"), "ms"),
        "delta_bytes": _format_quantity(index.find("text_delta_size"), "B"),
        "delta_us": _format_quantity(delta_us, "us"),
        "delta_core": _format_quantity(
            _scale(delta_us, changes_per_s / US_PER_S * PERCENT), "% of a core"
        ),
    }


def _recorder_values(index: _MeasurementIndex, target: Target) -> dict[str, str]:
    per_input_us = index.find("recorder_time_per_input")
    per_input_bytes = index.find("recorder_bytes_per_input")
    inputs_per_s = (
        target.requests_per_node * INPUTS_PER_REQUEST + TICKS_PER_S + REPORTS_PER_S
    )
    replay = index.find("replay_events_per_second", policy="damaskrill")
    return {
        "recorder_us": _format_quantity(per_input_us, "us"),
        "recorder_inputs": _format_quantity(inputs_per_s, "/s"),
        "recorder_core": _format_quantity(
            _scale(per_input_us, inputs_per_s / US_PER_S * PERCENT), "% of a core"
        ),
        "recorder_kb_per_s": _format_quantity(
            _scale(per_input_bytes, inputs_per_s / BYTES_PER_KB), "KB/s"
        ),
        "replay_per_s": _format_quantity(replay, "inputs/s"),
        "replay_hour_min": _format_quantity(
            None if replay is None else inputs_per_s * 60 / replay, "min"
        ),
    }


def _relay_values(index: _MeasurementIndex, target: Target) -> dict[str, str]:
    link_kb = index.find("peer_link_memory_one_end")
    core_percent = target.tokens_per_node / US_PER_S * PERCENT
    values = {
        "relay_link": _format_quantity(
            index.find("peer_chunk_of_200_bytes_both_ends"), "us"
        ),
        "link_kb": _format_quantity(link_kb, "KB"),
        "links_mb": _format_quantity(
            _scale(link_kb, (target.n_nodes - 1) / KB_PER_MB), "MB"
        ),
    }
    for role in ("entry", "owner"):
        chunk_us = index.find(
            "processor_time_per_relayed_chunk",
            role=role,
            n_streams=N_STREAMS_MEASURED,
        )
        request_us = index.find("processor_time_per_request", role=role)
        requests_percent = target.requests_per_node / US_PER_S * PERCENT
        values |= {
            f"relay_{role}_us": _format_quantity(chunk_us, "us"),
            f"relay_{role}_core": _format_quantity(
                _scale(chunk_us, core_percent), "% of a core"
            ),
            f"process_{role}_us": _format_quantity(request_us, "us"),
            f"process_{role}_core": _format_quantity(
                _scale(request_us, requests_percent), "% of a core"
            ),
            f"idle_{role}_mb": _format_quantity(
                index.find("idle_memory", role=role), "MB"
            ),
        }
    return values


def _fleet_values(index: _MeasurementIndex, target: Target) -> dict[str, str]:
    n_members = target.n_nodes

    def find(measure: str, unit: str, **parameters: Any) -> str:
        value = index.find(measure, n_members=n_members, **parameters)
        return _format_quantity(value, unit)

    by_class = "control_bytes_by_class"
    return {
        "in_force": find("text_in_force_everywhere", "ms"),
        "service_calls": find("configuration_service_calls", "/s"),
        "text_bytes_per_s": find(by_class, "B/s", control_class="configuration"),
        "member_bytes": find(by_class, "B/s", control_class="membership"),
        "load_bytes": find(by_class, "B/s", control_class="load"),
        "control_bytes": find("control_bytes_per_router_and_second", "B/s"),
        "control_core": find("control_processor_share", "% of a core"),
    }


def compute_values(
    results: Sequence[StoredMeasurement], target: Target | None = None
) -> dict[str, str]:
    """Return the value of each placeholder.

    Parameters
    ----------
    results : sequence of StoredMeasurement
        Stored measurements.
    target : Target, optional
        Target size; that of the requirements by default.

    Returns
    -------
    dict
        Text by placeholder.
    """
    target = target or Target()
    index = _MeasurementIndex(results)
    return {
        **_target_values(target),
        **_entry_values(index, target),
        **_owner_values(index, target),
        **_text_values(index, target),
        **_recorder_values(index, target),
        **_relay_values(index, target),
        **_fleet_values(index, target),
        "sweep_table": render_sweeps(results),
    }


def render_capacity(results: Sequence[StoredMeasurement]) -> str:
    """Return the rendered page.

    Parameters
    ----------
    results : sequence of StoredMeasurement
        Stored measurements.

    Returns
    -------
    str
        Markdown.
    """
    template = TEMPLATE_PATH.read_text(encoding="utf-8")
    return template.format_map(compute_values(results))
