"""Parses an operators' text (INI) into a ``FleetText``."""

import configparser

from damaskrill.configuration._model import (
    BackendServerSpec,
    DataCentreSpec,
    FencingCheck,
    FleetText,
    LimitSpec,
    ServiceKind,
    ServiceSpec,
    TeamSpec,
)

__all__ = ["parse_text"]


def parse_text(content: bytes, *, version: int) -> FleetText:
    """Parse an operators' text.

    Parameters
    ----------
    content : bytes
        The text, in UTF-8.
    version : int
        The platform's version number.

    Returns
    -------
    FleetText
        The sections of the text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(content.decode("utf-8"))
    services, servers, centres, teams = {}, {}, {}, {}
    limits = LimitSpec()
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        values = parser[section]
        match kind:
            case "service":
                services[name] = ServiceSpec(
                    name=name,
                    kind=ServiceKind(values.get("kind", "engine")),
                    depends_on=tuple(values.get("depends_on", "").split()),
                    repeatable=values.getboolean("repeatable", True),
                    fencing_check=FencingCheck(values.get("fencing_check", "ignored")),
                )
            case "backend_server":
                servers[name] = BackendServerSpec(
                    name=name,
                    service=values["service"],
                    address=values["address"],
                    data_centre=values["data_centre"],
                    bearable_load=values.getint("bearable_load", 16),
                    cold_load=values.getint("cold_load", 2),
                    leaving=values.getboolean("leaving", False),
                )
            case "data_centre":
                centres[name] = DataCentreSpec(
                    name=name,
                    region=values.get("region", ""),
                    in_service=values.getboolean("in_service", True),
                )
            case "team":
                teams[name] = TeamSpec(
                    name=name,
                    share=values.getint("share", 1),
                    priority=values.getint("priority", 5),
                )
            case "limits":
                limits = LimitSpec(**{key: int(value) for key, value in values.items()})
    return FleetText(
        version=version,
        services=services,
        backend_servers=servers,
        data_centres=centres,
        teams=teams,
        limits=limits,
    )
