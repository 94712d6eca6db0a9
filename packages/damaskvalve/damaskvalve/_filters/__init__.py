"""The filters of the request path."""

from damaskvalve._filters._admission import make_limit_filter, make_quarantine_filter
from damaskvalve._filters._authorise import (
    make_adapter_filter,
    make_authenticate_filter,
    make_classify_filter,
)
from damaskvalve._filters._claim import make_claim_filter
from damaskvalve._filters._outer import make_outer_filter

__all__ = [
    "make_adapter_filter",
    "make_authenticate_filter",
    "make_claim_filter",
    "make_classify_filter",
    "make_limit_filter",
    "make_outer_filter",
    "make_quarantine_filter",
]
