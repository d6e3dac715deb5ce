"""Orders to engines: which model to load, derived from the text."""

from damaskrill.orders._decider import EngineOrders
from damaskrill.orders._schedule import LOAD_SLOT_MS, desired_orders, orders_in_slot

__all__ = ["LOAD_SLOT_MS", "EngineOrders", "desired_orders", "orders_in_slot"]
