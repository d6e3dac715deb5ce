"""Works out docs/CAPACITY.md from a template and the stored slopes.

Notes
-----
What has not been measured is said to be so; nothing is guessed. Each placeholder of the
template is a key of ``compute_values``.
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from attrs import frozen

from benchmarks._results import StoredFigure, format_value

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
# An owner reads at most so many load reports a second, however many servers it owns.
REPORTS_PER_S = 10
# Streams at once in the run whose slope of the relay is taken; the target has 362.
N_STREAMS_MEASURED = 200
# Inputs of a kernel for each request: as entry its arrival, the start and the end of
# the attempt; as owner the offer, the first token and the end of the answer.
INPUTS_PER_REQUEST = 6


@frozen(kw_only=True)
class Target:
    """Size that the page is worked out for; the letter states it."""

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
    in_force_ms: int = 7_000
    restarts_per_day: int = 1_200
    failures_per_day: int = 200
    control_core_percent: float = 2.1
    control_mb: float = 64.0
    control_bytes_per_s: float = 5_000.0

    @property
    def requests_per_node(self) -> float:
        """Requests a second that one node is the entry of, and the owner of."""
        return self.requests_per_s / self.n_nodes

    @property
    def tokens_per_node(self) -> float:
        """Tokens a second that one node relays as entry, and again as owner."""
        return self.tokens_per_s / self.n_nodes

    @property
    def servers_per_node(self) -> float:
        """Backend servers that one node owns."""
        return self.n_servers / self.n_nodes

    @property
    def open_requests(self) -> float:
        """Requests that run at once in the whole fleet, by Little's law."""
        tokens_per_request = self.tokens_per_s / self.requests_per_s
        duration_ms = self.first_token_ms + tokens_per_request * self.between_tokens_ms
        return self.requests_per_s * duration_ms / MS_PER_S

    @property
    def streams_per_node(self) -> float:
        """Answers that one node relays at once as entry, and again as owner."""
        return self.open_requests / self.n_nodes


class _Slopes:
    """Finds stored figures by measure and parameters."""

    def __init__(self, results: Sequence[StoredFigure]) -> None:
        self._figures = [each.figure for each in results]

    def find(self, measure: str, policy: str = "", **parameters: Any) -> float | None:
        """Return the value whose parameters fit; None if there is none."""
        for figure in self._figures:
            fits = figure.measure == measure and policy in ("", figure.policy)
            if fits and all(
                figure.parameters.get(name) == value
                for name, value in parameters.items()
            ):
                return figure.value
        return None


def _show(value: float | None, unit: str) -> str:
    if value is None:
        return NOT_MEASURED
    return f"{format_value(float(f'{value:.3g}'))} {unit}".strip()


def _scaled(value: float | None, factor: float) -> float | None:
    return None if value is None else value * factor


def _target_values(target: Target) -> dict[str, str]:
    lost_share = PERCENT / target.n_data_centres
    remaining = target.n_data_centres / (target.n_data_centres - 1)
    return {
        "n_nodes": f"{target.n_nodes:,}",
        "n_servers": f"{target.n_servers:,}",
        "n_chats": f"{target.n_chats:,}",
        "n_teams": f"{target.n_teams:,}",
        "requests_per_node": _show(target.requests_per_node, "/s"),
        "tokens_per_node": _show(target.tokens_per_node, "/s"),
        "servers_per_node": _show(target.servers_per_node, ""),
        "open_requests": _show(target.open_requests, ""),
        "streams_per_node": _show(target.streams_per_node, ""),
        "seconds_per_change": _show(SECONDS_PER_DAY / target.changes_per_day, "s"),
        "seconds_per_restart": _show(SECONDS_PER_DAY / target.restarts_per_day, "s"),
        "nodes_per_data_centre": _show(target.n_nodes / target.n_data_centres, ""),
        "servers_per_data_centre": _show(target.n_servers / target.n_data_centres, ""),
        "lost_share": _show(lost_share, "%"),
        "remaining_load": _show((remaining - 1) * PERCENT, "%"),
        "report_interval": _show(target.servers_per_node / REPORTS_PER_S, "s"),
        "nodes_per_region": _show(target.n_nodes / target.n_regions, ""),
    }


def _entry_values(slopes: _Slopes, target: Target) -> dict[str, str]:
    per_request_us = slopes.find("entry_time_per_request", n_servers=target.n_servers)
    per_open_kb = slopes.find(
        "entry_memory_per_open_request", n_servers=target.n_servers
    )
    core_percent = target.requests_per_node / US_PER_S * PERCENT
    return {
        "entry_us": _show(per_request_us, "us"),
        "entry_core": _show(_scaled(per_request_us, core_percent), "% of a core"),
        "entry_open_kb": _show(per_open_kb, "KB"),
        "entry_open_mb": _show(
            _scaled(per_open_kb, target.streams_per_node / KB_PER_MB), "MB"
        ),
        "view_mb": _show(slopes.find("view_memory", n_servers=target.n_servers), "MB"),
    }


def _owner_values(slopes: _Slopes, target: Target) -> dict[str, str]:
    per_attempt_us = slopes.find("owner_time_per_attempt", n_servers=target.n_servers)
    per_tick_us = slopes.find("owner_time_per_tick", n_servers=target.n_servers)
    core_percent = target.requests_per_node / US_PER_S * PERCENT
    tick_percent = TICKS_PER_S / US_PER_S * PERCENT
    return {
        "owner_us": _show(per_attempt_us, "us"),
        "owner_core": _show(_scaled(per_attempt_us, core_percent), "% of a core"),
        "tick_us": _show(per_tick_us, "us"),
        "tick_core": _show(_scaled(per_tick_us, tick_percent), "% of a core"),
    }


def _text_values(slopes: _Slopes, target: Target) -> dict[str, str]:
    delta_us = slopes.find("text_delta_time_team")
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    return {
        "text_mb": _show(slopes.find("text_memory_held"), "MB"),
        "text_peak_mb": _show(slopes.find("text_memory_peak_of_parse"), "MB"),
        "text_parse_ms": _show(slopes.find("text_parse_time"), "ms"),
        "delta_bytes": _show(slopes.find("text_delta_size"), "B"),
        "delta_us": _show(delta_us, "us"),
        "delta_core": _show(
            _scaled(delta_us, changes_per_s / US_PER_S * PERCENT), "% of a core"
        ),
    }


def _recorder_values(slopes: _Slopes, target: Target) -> dict[str, str]:
    per_input_us = slopes.find("recorder_time_per_input")
    per_input_bytes = slopes.find("recorder_bytes_per_input")
    inputs_per_s = (
        target.requests_per_node * INPUTS_PER_REQUEST + TICKS_PER_S + REPORTS_PER_S
    )
    replay = slopes.find("replay_events_per_second", policy="damaskrill")
    return {
        "recorder_us": _show(per_input_us, "us"),
        "recorder_inputs": _show(inputs_per_s, "/s"),
        "recorder_core": _show(
            _scaled(per_input_us, inputs_per_s / US_PER_S * PERCENT), "% of a core"
        ),
        "recorder_kb_per_s": _show(
            _scaled(per_input_bytes, inputs_per_s / BYTES_PER_KB), "KB/s"
        ),
        "replay_per_s": _show(replay, "inputs/s"),
        "replay_hour_min": _show(
            None if replay is None else inputs_per_s * 60 / replay, "min"
        ),
    }


def _relay_values(slopes: _Slopes, target: Target) -> dict[str, str]:
    link_kb = slopes.find("peer_link_memory_one_end")
    core_percent = target.tokens_per_node / US_PER_S * PERCENT
    values = {
        "relay_link": _show(slopes.find("peer_chunk_of_200_bytes_both_ends"), "us"),
        "link_kb": _show(link_kb, "KB"),
        "links_mb": _show(_scaled(link_kb, (target.n_nodes - 1) / KB_PER_MB), "MB"),
    }
    for role in ("entry", "owner"):
        chunk_us = slopes.find(
            "processor_time_per_relayed_chunk",
            role=role,
            n_streams=N_STREAMS_MEASURED,
        )
        request_us = slopes.find("processor_time_per_request", role=role)
        requests_percent = target.requests_per_node / US_PER_S * PERCENT
        values |= {
            f"relay_{role}_us": _show(chunk_us, "us"),
            f"relay_{role}_core": _show(_scaled(chunk_us, core_percent), "% of a core"),
            f"process_{role}_us": _show(request_us, "us"),
            f"process_{role}_core": _show(
                _scaled(request_us, requests_percent), "% of a core"
            ),
            f"idle_{role}_mb": _show(slopes.find("idle_memory", role=role), "MB"),
        }
    return values


def _fleet_values(slopes: _Slopes, target: Target) -> dict[str, str]:
    n_members = target.n_nodes

    def find(measure: str, unit: str, **parameters: Any) -> str:
        value = slopes.find(measure, n_members=n_members, **parameters)
        return _show(value, unit)

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
    results: Sequence[StoredFigure], target: Target | None = None
) -> dict[str, str]:
    """Return the value of each placeholder.

    Parameters
    ----------
    results : sequence of StoredFigure
        Stored figures.
    target : Target, optional
        The letter's target by default.

    Returns
    -------
    dict
        Text by placeholder.
    """
    target = target or Target()
    slopes = _Slopes(results)
    return {
        **_target_values(target),
        **_entry_values(slopes, target),
        **_owner_values(slopes, target),
        **_text_values(slopes, target),
        **_recorder_values(slopes, target),
        **_relay_values(slopes, target),
        **_fleet_values(slopes, target),
    }


def render_capacity(results: Sequence[StoredFigure]) -> str:
    """Return the page.

    Parameters
    ----------
    results : sequence of StoredFigure
        Stored figures.

    Returns
    -------
    str
        Markdown.
    """
    template = TEMPLATE_PATH.read_text(encoding="utf-8")
    return template.format_map(compute_values(results))
