"""Parsing and validation of the operators' text and of process settings.

Notes
-----
``parse_text(content, version=...)`` parses a complete text. For incremental updates,
``split_sections(content)`` returns the content of each section by its header, with
``[teams]`` split into buckets, and ``apply_sections(text, changed, removed, version)``
returns the updated text. Texts are immutable; the old and the new one share unchanged
data. ``digest_section`` returns a short digest for the comparison of sections. Invalid
content raises ``InvalidConfigurationError``, whose ``faults`` hold the line, code and
sentence of every fault; ``Fault.describe`` formats a fault as one readable line.

A field that is added to ``ServiceSpec``, ``DataCentreSpec``, ``BackendServerSpec`` or
``LimitSpec`` needs a key declaration in ``_text_schema``, from which the reference page
is generated as well (``tools/write_reference.py``).
"""

from damaskrill.configuration._faults import (
    FAULT_TEMPLATES,
    Fault,
    FaultCode,
    InvalidConfigurationError,
)
from damaskrill.configuration._files import (
    FileKind,
    UnreadableFileError,
    guess_file_kind,
    read_bounded_file,
    read_settings,
)
from damaskrill.configuration._model import (
    BackendServerSearch,
    BackendServerSpec,
    DataCentreSpec,
    FencingCheck,
    FleetText,
    LimitSpec,
    ServiceKind,
    ServiceSpec,
    TeamSpec,
)
from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.configuration._reference import (
    render_settings_reference,
    render_text_reference,
)
from damaskrill.configuration._sections import (
    apply_sections,
    digest_section,
    split_sections,
)
from damaskrill.configuration._settings import Settings, parse_settings
from damaskrill.configuration._teams import TeamTable
from damaskrill.configuration._text import parse_text

__all__ = [
    "FAULT_TEMPLATES",
    "BackendServerSearch",
    "BackendServerSpec",
    "DataCentreSpec",
    "Fault",
    "FaultCode",
    "FencingCheck",
    "FileKind",
    "FleetText",
    "InvalidConfigurationError",
    "LimitSpec",
    "PeerLimits",
    "ServiceKind",
    "ServiceSpec",
    "Settings",
    "TeamSpec",
    "TeamTable",
    "UnreadableFileError",
    "apply_sections",
    "digest_section",
    "guess_file_kind",
    "parse_settings",
    "parse_text",
    "read_bounded_file",
    "read_settings",
    "render_settings_reference",
    "render_text_reference",
    "split_sections",
]
