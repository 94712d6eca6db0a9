"""Public interface of the permits; see :mod:`damaskvalve_agent._permits`."""

from damaskvalve_agent import _permits
from damaskvalve_agent._permits import *  # noqa: F401,F403

__all__ = list(_permits.__all__)
