"""Incremental construction and validation of a ``FleetText``."""

from collections.abc import Callable, Mapping
from typing import Any

from damaskrill.configuration._faults import FaultCode, FaultList
from damaskrill.configuration._ini import Block, build_section
from damaskrill.configuration._model import FleetText, LimitSpec
from damaskrill.configuration._teams import (
    N_TEAM_BUCKETS,
    TeamBucket,
    TeamTable,
    pack_teams,
)
from damaskrill.configuration._text_schema import (
    BACKEND_SERVER,
    BACKEND_SERVER_SEARCH,
    DATA_CENTRE,
    LIMITS,
    SERVICE,
    TEAMS_KIND,
    TEXT_SCHEMA,
)
from damaskrill.configuration._values import shorten_value

__all__ = ["FleetTextBuilder", "report_unknown_section"]

LineOfHeader = Callable[[str], int]


class FleetTextBuilder:
    """Mutable builder of a ``FleetText`` with copy-on-write tables of sections.

    Parameters
    ----------
    text : FleetText
        Text to start from; not modified.
    """

    def __init__(self, text: FleetText) -> None:
        self._tables: dict[str, dict[str, Any]] = {
            SERVICE.kind: text.services,
            DATA_CENTRE.kind: text.data_centres,
            BACKEND_SERVER.kind: text.backend_servers,
            BACKEND_SERVER_SEARCH.kind: text.backend_server_searches,
        }
        self._limits = text.limits
        self._buckets = _copy_buckets(text)
        self._copied_kinds: set[str] = set()

    @property
    def buckets(self) -> list[TeamBucket]:
        """Teams by bucket number; mutable."""
        return self._buckets

    @property
    def references_changed(self) -> bool:
        """Whether a section that refers to others, or is referred to, has changed."""
        return bool(self._copied_kinds)

    def add_section(self, block: Block, faults: FaultList) -> None:
        """Convert a section and add or replace it; collect its faults."""
        schema = TEXT_SCHEMA.sections_by_kind.get(block.kind)
        if schema is None:
            report_unknown_section(block, faults)
            return
        section = build_section(block, schema, faults)
        if schema is LIMITS:
            self._limits = section
        else:
            self._writable_table(schema.kind)[block.name] = section

    def remove_section(self, kind: str, name: str) -> None:
        """Remove a section; an unknown name is ignored."""
        if kind == LIMITS.kind:
            self._limits = LimitSpec()
        elif name in self._tables.get(kind, ()):
            del self._writable_table(kind)[name]

    def check_references(self, faults: FaultList, line_of: LineOfHeader) -> None:
        """Check references, addresses, loads and dependency cycles."""
        tables = self._tables
        services = tables[SERVICE.kind]
        # An empty text is more likely a mistake than a request to serve nothing.
        if not services:
            faults.add(0, FaultCode.NO_SERVICE)
        for name, service in services.items():
            for dependency in service.depends_on:
                self._check_reference(
                    f"{SERVICE.kind} {name}", SERVICE, dependency, faults, line_of
                )
        for name in tables[BACKEND_SERVER_SEARCH.kind]:
            header = f"{BACKEND_SERVER_SEARCH.kind} {name}"
            self._check_reference(header, SERVICE, name, faults, line_of)
        self._check_servers(faults, line_of)
        self._check_loads(faults, line_of)
        _check_cycles(services, faults, line_of)

    def build(self, version: int) -> FleetText:
        """Build the text."""
        return FleetText(
            version=version,
            services=self._tables[SERVICE.kind],
            data_centres=self._tables[DATA_CENTRE.kind],
            backend_servers=self._tables[BACKEND_SERVER.kind],
            backend_server_searches=self._tables[BACKEND_SERVER_SEARCH.kind],
            limits=self._limits,
            teams=TeamTable(self._buckets),
        )

    def _writable_table(self, kind: str) -> dict[str, Any]:
        if kind not in self._copied_kinds:
            self._copied_kinds.add(kind)
            self._tables[kind] = dict(self._tables[kind])
        return self._tables[kind]

    def _check_servers(self, faults: FaultList, line_of: LineOfHeader) -> None:
        names_by_address: dict[str, str] = {}
        services = self._tables[SERVICE.kind]
        centres = self._tables[DATA_CENTRE.kind]
        for name, server in self._tables[BACKEND_SERVER.kind].items():
            header = f"{BACKEND_SERVER.kind} {name}"
            if server.service not in services:
                self._check_reference(header, SERVICE, server.service, faults, line_of)
            if server.data_centre not in centres:
                centre = server.data_centre
                self._check_reference(header, DATA_CENTRE, centre, faults, line_of)
            other = names_by_address.setdefault(server.address, name)
            if server.address and other != name:
                faults.add(
                    line_of(header),
                    FaultCode.DUPLICATE_ADDRESS,
                    header=header,
                    address=server.address,
                    other=f"{BACKEND_SERVER.kind} {other}",
                )

    def _check_loads(self, faults: FaultList, line_of: LineOfHeader) -> None:
        for schema in (BACKEND_SERVER, BACKEND_SERVER_SEARCH):
            for name, spec in self._tables[schema.kind].items():
                if spec.bearable_load >= spec.cold_load:
                    continue
                faults.add(
                    line_of(f"{schema.kind} {name}"),
                    FaultCode.CONFLICTING_VALUES,
                    key="bearable_load",
                    value=spec.bearable_load,
                    least=spec.cold_load,
                    reason="its capacity after a cold start (cold_load)",
                )

    def _check_reference(
        self,
        header: str,
        schema: Any,
        name: str,
        faults: FaultList,
        line_of: LineOfHeader,
    ) -> None:
        if not name or name in self._tables[schema.kind]:
            return
        code = FaultCode.UNKNOWN_REFERENCE
        kind = schema.kind.replace("_", " ")
        faults.add(line_of(header), code, header=header, kind=kind, name=name)


def _copy_buckets(text: FleetText) -> list[TeamBucket]:
    if isinstance(text.teams, TeamTable):
        return list(text.teams.buckets)
    return pack_teams(text.teams) if text.teams else [{}] * N_TEAM_BUCKETS


def report_unknown_section(block: Block, faults: FaultList) -> None:
    """Add a fault for a section whose kind a text must not have."""
    kinds = [schema.header for schema in TEXT_SCHEMA.sections]
    known = ", ".join(f"[{header}]" for header in (*kinds, TEAMS_KIND))
    header = shorten_value(block.header)
    faults.add(block.line, FaultCode.UNKNOWN_SECTION, header=header, known=known)


def _check_cycles(
    services: Mapping[str, Any], faults: FaultList, line_of: LineOfHeader
) -> None:
    finished: set[str] = set()
    for name in services:
        path = _find_cycle(name, services, finished)
        if path:
            header = f"{SERVICE.kind} {path[0]}"
            shown = " -> ".join(path)
            faults.add(line_of(header), FaultCode.DEPENDENCY_CYCLE, path=shown)


def _find_cycle(
    start: str, services: Mapping[str, Any], finished: set[str]
) -> list[str]:
    """Return the first cycle of an iterative depth-first search, or an empty list."""
    path: list[str] = []
    pending = [(start, False)]
    cycle: list[str] = []
    while pending:
        name, is_exit = pending.pop()
        if is_exit:
            path.pop()
            finished.add(name)
        elif name in path:
            cycle = cycle or [*path[path.index(name) :], name]
        elif name in services and name not in finished:
            path.append(name)
            pending.append((name, True))
            pending.extend(
                (dependency, False) for dependency in services[name].depends_on
            )
    return cycle
