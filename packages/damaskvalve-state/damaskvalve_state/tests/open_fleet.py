"""Members of an open group, connected over loopback."""

import asyncio
import contextlib
import shutil
import time
from pathlib import Path

from damaskvalve_core import RetryLaterError, dialing, listening
from damaskvalve_core.messages import Command, DocumentRecord
from damaskvalve_state import NodeSettings, Timing, running_group
from damaskvalve_state.tests.slow_link import slow_link

# Outside the ephemeral port range of the system.
FIRST_PORT = 21_700
# How long a host that stops finishes its requests.
DRAIN_S = 1.0
TIMING = Timing(election_timeout_s=0.5, heartbeat_s=0.1)
# Where a member listens that others reach over a slow link.
BEHIND_LINK_IP = "127.0.0.2"


class Fleet:
    """Members connected over loopback."""

    def __init__(self, scratch):
        self.scratch = Path(scratch)
        self.stacks = {}
        self.groups = {}

    def start(
        self,
        number,
        seeds,
        *,
        durable=True,
        may_bootstrap=True,
        link_bytes_per_s=None,
    ):
        """Start a member; others reach it over a link of a limited rate, if given."""
        address = f"127.0.0.1:{FIRST_PORT + number}"
        listen_address = address
        stack = contextlib.ExitStack()
        if link_bytes_per_s is not None:
            listen_address = f"{BEHIND_LINK_IP}:{FIRST_PORT + number}"
            link = slow_link(address, listen_address, link_bytes_per_s)
            stack.enter_context(link)
        folder = self.scratch / str(number) if durable else None
        settings = NodeSettings(
            folder,
            address,
            "dc",
            [f"127.0.0.1:{FIRST_PORT + seed}" for seed in seeds],
            TIMING,
            may_bootstrap=may_bootstrap,
            open_group=True,
        )
        dialer = stack.enter_context(dialing(None))
        group = stack.enter_context(running_group(settings, dialer))
        answer = lambda request, _: [  # noqa: E731
            group.handle_peer_message(request, 2.0)
        ]
        stack.enter_context(listening(listen_address, None, answer))
        self.stacks[number], self.groups[number] = stack, group

    def stop(self, number):
        self.stacks.pop(number).close()
        del self.groups[number]

    def stop_gracefully(self, number):
        """Stop a member as a host does at a planned stop."""
        asyncio.run(self.groups[number].announce_stop())
        time.sleep(DRAIN_S)
        self.stop(number)

    def lose_disk(self, number):
        """Stop a member and delete its folder."""
        self.stop(number)
        shutil.rmtree(self.scratch / str(number))

    def stop_all(self):
        for number in list(self.stacks):
            self.stop(number)

    def commit_document(self, version, within_s=10.0, name="d", body=b"x"):
        """Commit a document through the current leader."""
        command = Command(document=DocumentRecord(name, version, body))
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            for group in self.groups.values():
                with contextlib.suppress(RetryLaterError):
                    if group.propose(command, 1.0) is not None:
                        return
            time.sleep(0.05)
        raise AssertionError("no member committed the document")

    def leader(self):
        """Return the number of the member that leads."""
        return next(
            number for number, group in self.groups.items() if group.status().is_leader
        )

    def version(self, number):
        def read(node, now_s):
            document = node.state_machine.documents.get("d")
            return document.version if document else 0

        return self.groups[number].run(read)

    def await_version(self, number, version, within_s=10.0):
        deadline_s = time.monotonic() + within_s
        while self.version(number) < version:
            if time.monotonic() > deadline_s:
                raise AssertionError(
                    f"member {number} did not receive version {version}"
                )
            time.sleep(0.05)

    def await_voter(self, number, within_s=10.0):
        """Wait until a member follows the group as a voter."""
        deadline_s = time.monotonic() + within_s
        while f"127.0.0.1:{FIRST_PORT + number}" not in self.voters(number):
            if time.monotonic() > deadline_s:
                raise AssertionError(f"member {number} did not become a voter")
            time.sleep(0.05)

    def know_addresses(self, numbers):
        """Tell all members the addresses of the group, as replicated state would."""
        addresses = frozenset(f"127.0.0.1:{FIRST_PORT + item}" for item in numbers)

        def know(node, now_s):
            node.known_addresses = addresses

        for number in numbers:
            self.groups[number].run(know)

    def voters(self, number):
        def read(node, now_s):
            return sorted(voter.address for voter in node.consensus.voters())

        return self.groups[number].run(read)
