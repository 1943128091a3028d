"""Decisions of an HTTP load balancer, free of I/O; see README.md for the interface."""

from flinthatch.balancer import Balancer
from flinthatch.interface import (
    Actions,
    Effect,
    Listing,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)

__all__ = [
    "Actions",
    "Balancer",
    "Effect",
    "Listing",
    "Outcome",
    "RequestClass",
    "Scope",
    "Settings",
    "State",
    "Tenant",
    "Update",
]
