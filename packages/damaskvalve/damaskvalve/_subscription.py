"""Keeps an entry host's configuration view up to date."""

import time
from collections.abc import Sequence

import logbook

from damaskvalve._configuration import ADAPTER, AdapterGrant, parse_row
from damaskvalve._view import ConfigurationView
from damaskvalve_core import ChannelError, Dialer, RefusedError, boot_clock_s
from damaskvalve_core.messages import LookupRequest, PollRequest, ReadReply, ReadRequest

POLL_WAIT_S = 0.5
RPC_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.1

_log = logbook.Logger("subscription")


class Subscription:
    """Long-polls one control host; uses the next one if it is not up to date."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        addresses: Sequence[str],
        dialer: Dialer,
        view: ConfigurationView,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._addresses = tuple(addresses)
        self._dialer = dialer
        self._view = view
        self._position = 0

    def poll(self) -> None:
        """Poll once; apply the reply.

        Switch to the next control host if the call fails, or if the reply is not fresh
        or has an older revision than the view.
        """
        view = self._view
        request = PollRequest(
            self._name,
            self._data_centre,
            view.revision,
            view.backends_version,
            view.suspects_version,
            POLL_WAIT_S,
            view.control_id,
        )
        sent_at_s = boot_clock_s()
        address = self._addresses[self._position % len(self._addresses)]
        try:
            reply = self._dialer.call(address, request, RPC_TIMEOUT_S)
        except ChannelError as error:
            _log.debug(
                "poll of control host {} failed, trying the next one: {}",
                address,
                error,
            )
            self._use_next_host()
            return
        if not (view.apply(reply, sent_at_s) and reply.fresh):
            self._use_next_host()

    def _use_next_host(self) -> None:
        self._position += 1
        time.sleep(RETRY_DELAY_S)

    def lookup_adapter(self, workspace: str, adapter: str) -> AdapterGrant | None:
        """Return the grant of an adapter; look it up if it is not cached.

        Return None if the workspace has no such adapter.
        """
        key = f"{workspace}/{adapter}"
        cached, grant = self._view.cached_adapter(key)
        if cached:
            return grant
        request = LookupRequest(ADAPTER, [key])
        for address in self._addresses_in_order():
            try:
                reply = self._dialer.call(address, request, RPC_TIMEOUT_S)
            except ChannelError:
                continue
            if reply.fresh and reply.revision >= self._view.revision:
                row = reply.rows[0] if reply.rows else None
                self._view.cache_adapter(key, row, reply.revision)
                return parse_row(ADAPTER, key, row.value) if row else None
        raise RefusedError(
            503,
            "no_control",
            "no up-to-date control host could look up the adapter",
            retry_after_s=1.0,
        )

    def read(self, request: ReadRequest) -> ReadReply:
        """Read state from an up-to-date control host, trying the polled one first."""
        for address in self._addresses_in_order():
            try:
                reply: ReadReply = self._dialer.call(address, request, RPC_TIMEOUT_S)
            except ChannelError:
                continue
            if reply.fresh:
                return reply
        raise RefusedError(
            503, "no_control", "no up-to-date control host answered", retry_after_s=1.0
        )

    def _addresses_in_order(self) -> Sequence[str]:
        start = self._position % len(self._addresses)
        return self._addresses[start:] + self._addresses[:start]
