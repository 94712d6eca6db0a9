"""Asks the hosts that lend for the tokens that a request lacks.

The decisions, whom to ask next and what a refusal means, stand apart from the calls.
"""

from collections.abc import Awaitable, Callable, Sequence

import xxhash

from damaskvalve_core import ChannelError, DecisionLog, RefusedError
from damaskvalve_core.messages import TokensReply, TokensRequest
from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._quota import MAX_RETRY_S

# A lender answers within some milliseconds; one that does not within this is frozen,
# cut off or overloaded.
ASK_TIMEOUT_S = 0.25
# One that did not answer is left out for this long, so that not every request waits
# for it.
SILENT_LENDER_S = 1.0
# When the lenders that would know are silent: by then another leads.
ELECTION_S = 1.0

#: Sends a request for tokens to a host; raises ChannelError.
SendAsk = Callable[[str, TokensRequest, float], Awaitable[TokensReply]]


class LenderTracker:
    """What a host remembers of the lenders that it asked."""

    __slots__ = ("_silent_until_s", "_empty_until_s")

    def __init__(self) -> None:
        self._silent_until_s: dict[str, float] = {}
        # By lender and workspace.
        self._empty_until_s: dict[tuple[str, str], float] = {}

    def order(
        self, host: str, lenders: Sequence[str], workspace: str, now_s: float
    ) -> Sequence[str]:
        """Return the lenders to ask, without those that are known not to help.

        Each host begins with another one, so that all are asked alike.
        """
        helpful = [
            lender
            for lender in lenders
            if lender != host
            and not self.is_silent(lender, now_s)
            and now_s >= self._empty_until_s.get((lender, workspace), 0.0)
        ]
        return sorted(
            helpful, key=lambda item: xxhash.xxh32_intdigest(f"{host}|{item}".encode())
        )

    def is_silent(self, lender: str, now_s: float) -> bool:
        """Return whether a lender did not answer of late.

        The first to look after the time is over tries it; the others go on leaving it
        out until that one knows.
        """
        until_s = self._silent_until_s.get(lender)
        if until_s is None:
            return False
        if now_s >= until_s:
            self._silent_until_s[lender] = now_s + ASK_TIMEOUT_S
            return False
        return True

    def note_silent(self, lender: str, now_s: float) -> None:
        """Leave a lender out that did not answer."""
        self._silent_until_s[lender] = now_s + SILENT_LENDER_S

    def note_heard(self, lender: str) -> None:
        """Count on a lender again that has answered."""
        self._silent_until_s.pop(lender, None)

    def note_empty(
        self, lender: str, workspace: str, wait_s: float, now_s: float
    ) -> None:
        """Leave a lender out until it may have tokens of a workspace again."""
        self._empty_until_s[(lender, workspace)] = now_s + wait_s


class TokenAsk:
    """One request's search for the tokens that it lacks."""

    def __init__(
        self, workspace: Workspace, tokens: float, fingerprint: str, host: str
    ) -> None:
        self.workspace = workspace
        self.tokens = tokens
        # Who granted the tokens, empty until one has.
        self.lender = ""
        # How long until the leader has what is lacking; 0 if it has not said.
        self.leader_wait_s = 0.0
        self.silent: list[str] = []
        self._fingerprint = fingerprint
        self._host = host

    def request(self) -> TokensRequest:
        """Return what to ask the next lender."""
        return TokensRequest(
            self._host, self.workspace.name, self.tokens, self._fingerprint
        )

    def refusal(self) -> RefusedError:
        """Return why the request cannot run, and when to come back."""
        name = self.workspace.name
        if self.leader_wait_s > 0:
            return RefusedError(
                429,
                "over_rate",
                f"workspace {name} is over its rate",
                retry_after_s=self.leader_wait_s,
            )
        who = ", ".join(self.silent) or "the leader, which is not known"
        return RefusedError(
            503,
            "lender_silent",
            f"nobody can say whether workspace {name} is within its rate: no answer "
            f"from {who}",
            retry_after_s=ELECTION_S,
        )


class TokenAsker:
    """Finds a lender that has what a request lacks; the leader is asked last."""

    def __init__(self, host: str, send: SendAsk, log: DecisionLog) -> None:
        self._host = host
        self._send = send
        self._log = log
        self._tracker = LenderTracker()

    async def find(
        self,
        ask: TokenAsk,
        lenders: Sequence[str],
        leader: str,
        clock: Callable[[], float],
    ) -> None:
        """Ask one after the other until one has granted the tokens."""
        others = [lender for lender in lenders if lender != leader]
        name = ask.workspace.name
        for lender in self._tracker.order(self._host, others, name, clock()):
            await self._ask(ask, lender, clock, leads=False)
            if ask.lender:
                return
        if not leader:
            return
        if self._tracker.is_silent(leader, clock()):
            ask.silent.append(leader)
            return
        await self._ask(ask, leader, clock, leads=True)

    async def give_back(self, lender: str, workspace: Workspace, tokens: float) -> None:
        """Return tokens that a request lent and did not use; lost if that fails."""
        request = TokensRequest(self._host, workspace.name, -tokens, "")
        try:
            await self._send(lender, request, ASK_TIMEOUT_S)
        except ChannelError as error:
            self._log.line("tokens_not_returned", lender=lender, reason=str(error))

    async def _ask(
        self,
        ask: TokenAsk,
        lender: str,
        clock: Callable[[], float],
        *,
        leads: bool,
    ) -> None:
        try:
            reply = await self._send(lender, ask.request(), ASK_TIMEOUT_S)
        except ChannelError as error:
            self._tracker.note_silent(lender, clock())
            ask.silent.append(lender)
            self._log.line("lender_silent", lender=lender, reason=str(error))
            return
        self._tracker.note_heard(lender)
        if reply.granted:
            ask.lender = lender
            return
        wait_s = reply.retry_after_s or MAX_RETRY_S
        if leads and reply.leader_address:
            ask.leader_wait_s = wait_s
        elif leads:
            # It has ceased to lead, and its own part says nothing of the whole.
            ask.silent.append(lender)
        else:
            self._tracker.note_empty(lender, ask.workspace.name, wait_s, clock())
