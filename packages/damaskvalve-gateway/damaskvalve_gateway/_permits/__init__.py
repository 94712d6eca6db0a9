"""Permits: the right to start a request at an engine, given by its agent."""

from damaskvalve_gateway._permits._client import PermitClient
from damaskvalve_gateway._permits._permit import Permit

__all__ = ["Permit", "PermitClient"]
