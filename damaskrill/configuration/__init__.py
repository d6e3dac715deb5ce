"""The operators' text and the settings of a process.

Notes
-----
A text is read whole by ``parse_text(content, version=...)``. For changes of a text,
``split_sections(content)`` gives the content of each section by its header, with
``[teams]`` divided into parts, and ``apply_sections(text, changed, removed, version)``
gives the changed text; both old and new texts are immutable and share what has not
changed. ``digest_section`` gives a short digest to compare sections by. All raise
``InvalidConfigurationError``, whose ``faults`` hold line, code and sentence of every
fault; ``Fault.describe`` gives one line for people.

A field that is added to ``ServiceSpec``, ``DataCentreSpec``, ``BackendServerSpec`` or
``LimitSpec`` becomes a key of the text by a declaration in ``_text_schema``, from which
the reference page is written too (``tools/write_reference.py``).
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
