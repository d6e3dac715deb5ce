"""Conversion between messages and tagged maps with ``cattrs``."""

from typing import Any

import cattrs
from cattrs.strategies import configure_tagged_union

from damaskrill import messages
from damaskrill.exceptions import UndecodableMessageError
from damaskrill.messages import (
    Completed,
    Message,
    NotRun,
    Outcome,
    PeerPayload,
    Unknown,
)

__all__ = ["message_from_map", "message_to_map"]

TYPE_KEY = "type"
MESSAGE_TYPES: dict[str, type[Message]] = {
    name: value
    for name, value in vars(messages).items()
    if isinstance(value, type) and issubclass(value, Message)
}


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, omit_if_default=True, detailed_validation=False
    )
    outcomes: Any = Completed | NotRun | Unknown
    configure_tagged_union(outcomes, converter, tag_name=TYPE_KEY)
    converter.register_unstructure_hook_func(
        lambda each: each is Outcome,
        lambda value: converter.unstructure(value, outcomes),
    )
    converter.register_structure_hook_func(
        lambda each: each is Outcome,
        lambda value, _: converter.structure(value, outcomes),
    )
    # Payloads differ in type, so a payload inside a wrapping message has a tag too.
    converter.register_unstructure_hook_func(
        lambda each: each is PeerPayload, lambda value: message_to_map(value)
    )
    converter.register_structure_hook_func(
        lambda each: each is PeerPayload, lambda value, _: message_from_map(value)
    )
    return converter


_converter = _build_converter()


def message_to_map(message: Message) -> dict[str, Any]:
    """Convert a message to a map.

    Parameters
    ----------
    message : Message
        Any message except those that hold a complete view or a parsed text.

    Returns
    -------
    dict
        Fields that differ from their defaults, and the name of the type.
    """
    content = _converter.unstructure(message)
    content[TYPE_KEY] = type(message).__name__
    return content


def message_from_map(content: dict[str, Any]) -> Message:
    """Convert a map to a message.

    Parameters
    ----------
    content : dict
        Map as returned by ``message_to_map``.

    Returns
    -------
    Message
        The message.

    Raises
    ------
    UndecodableMessageError
        If the type is unknown or the fields do not match it.
    """
    try:
        fields = dict(content)
        message_type = MESSAGE_TYPES[fields.pop(TYPE_KEY)]
        return _converter.structure(fields, message_type)
    except Exception as error:
        raise UndecodableMessageError(reason=repr(error)) from error
