"""Errors at the start of a router process."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["AddressNotFreeError"]


class AddressNotFreeError(DamaskrillError):
    """An address from the settings cannot be bound."""

    code = "address_not_free"
    template = "cannot bind the address {address}: {reason}"
