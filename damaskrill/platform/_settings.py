"""Settings file of the platform."""

import math
from typing import Any

from damaskrill.gateway import GatewaySettings, UnreadableSettingsError
from damaskrill.platform._fields import CALLER_ADDRESS, parse_address, read_fields

__all__ = ["read_platform_settings"]

MS_PER_S = 1_000
# Prefix of the fields that name the region of a data centre.
ZONE_PREFIX = "zones."
# Port for metrics in the deploy file.
METRICS_PORT = 9_464


def read_platform_settings(path: str) -> GatewaySettings:
    """Read the settings of this process.

    Parameters
    ----------
    path : str
        Path of the settings file.

    Returns
    -------
    GatewaySettings
        Settings; unknown fields are ignored.

    Raises
    ------
    UnreadableSettingsError
        If the file cannot be read, or a field is missing or has the wrong type.
    """
    try:
        return _to_settings(read_fields(path))
    except (OSError, UnicodeDecodeError) as error:
        raise UnreadableSettingsError(path=path, reason=str(error)) from error
    except KeyError as error:
        reason = f"the field {error} is missing"
        raise UnreadableSettingsError(path=path, reason=reason) from error
    except ValueError as error:
        raise UnreadableSettingsError(path=path, reason=str(error)) from error


def _to_settings(fields: dict[str, str]) -> GatewaySettings:
    seeds = [each for each in fields.get("seedAddrs", "").split(",") if each]
    return GatewaySettings(
        name=fields["node"],
        data_centre=fields["zone"],
        caller_address=parse_address(fields[CALLER_ADDRESS]),
        readiness_address=parse_address(fields["listen.ready"]),
        # Address on which this router accepts connections of other routers.
        peer_address=parse_address(fields["listen.control"]),
        seed_addresses=tuple(parse_address(each) for each in seeds),
        store_address=parse_address(fields["platform.address"]),
        metrics_address=(fields["bindIp"], METRICS_PORT),
        region_of={
            name.removeprefix(ZONE_PREFIX): region
            for name, region in fields.items()
            if name.startswith(ZONE_PREFIX)
        },
        **_to_bounds(fields),
    )


def _to_bounds(fields: dict[str, str]) -> dict[str, Any]:
    # A bound is missing if the deployment does not have the rule that it belongs to.
    bounds = {
        "grace_ms": ("bounds.gracePeriodS", MS_PER_S),
        "repeat_ratio": ("bounds.budgetRatio", 1),
        "repeat_slack": ("bounds.retrySlack", 1),
        "repeat_window_ms": ("bounds.budgetWindowS", MS_PER_S),
        "leaving_limit_ms": ("bounds.drainTimeoutMs", 1),
        "cold_factor": ("bounds.coldFactor", 1),
        "cold_slack": ("bounds.coldSlack", 1),
        "store_history_ms": ("platform.historyTtlS", MS_PER_S),
        "memory_mb": ("limits.memoryMb", 1),
        "max_descriptors": ("limits.maxFds", 1),
    }
    return {
        name: _parse_bound(field, fields[field]) * unit
        for name, (field, unit) in bounds.items()
        if fields.get(field)
    }


def _parse_bound(field: str, text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{field} is not a finite number")
    return value
