"""A mechanism, how to disable it, and the test that fails without it."""

from collections.abc import Callable
from typing import Any
from unittest import mock

#: Returns a context manager that disables a mechanism.
Removal = Callable[[], Any]


class Proof:
    """A mechanism, how to disable it, and the test that fails without it."""

    __slots__ = ("mechanism", "remove", "test")

    def __init__(self, mechanism: str, remove: Removal, test: str) -> None:
        self.mechanism = mechanism
        self.remove = remove
        self.test = test


def replace(owner: Any, name: str, value: Any) -> Removal:
    """Return a removal that replaces an attribute."""
    return lambda: mock.patch.object(owner, name, value)


__all__ = ["Proof", "Removal", "replace"]
