"""Settings of one router process, as the runtime needs them."""

import configparser
from pathlib import Path

from attrs import frozen

__all__ = ["Settings", "read_settings"]


@frozen(kw_only=True)
class Settings:
    """Settings of one process."""

    host: str = "127.0.0.1"
    caller_port: int = 0
    peer_port: int = 0
    data_centre: str = "bole"
    fleet_key: str = ""
    text_url: str = ""
    host_list_url: str = ""
    log_level: str = "INFO"
    trace_output: str = ""


def read_settings(path: str) -> Settings:
    """Read settings from a file."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(Path(path).read_text(encoding="utf-8"))
    values = parser["process"]
    numbers = {"caller_port", "peer_port"}
    return Settings(
        **{
            key: int(value) if key in numbers else value
            for key, value in values.items()
        }  # type: ignore[arg-type]
    )
