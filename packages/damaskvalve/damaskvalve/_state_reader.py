"""Reads the replicated state for operators and entry hosts."""

from damaskvalve._configuration import ADAPTER
from damaskvalve_core.messages import ReadReply, ReadRequest
from damaskvalve_state import GroupNode

MAX_LISTED_CLAIMS = 1_000


def read_state(node: GroupNode, request: ReadRequest) -> ReadReply:
    """Return the requested part of the state; runs inside the group's actor.

    The caller sets ``fresh``, which is False in the returned reply.
    """
    state_machine = node.state_machine
    consensus = node.consensus
    reply = ReadReply(
        False,
        state_machine.revision,
        members=list(consensus.voters()),
        leader_address=consensus.leader_address,
        commit_index=consensus.commit_index,
        last_index=consensus.log.last_index,
        term=consensus.term,
    )
    if request.what == "rows":
        tables = [request.key] if request.key else state_machine.tables()
        reply.rows = [
            row for name in tables for row in state_machine.table(name).values()
        ]
    elif request.what == "adapters":
        prefix = f"{request.key}/"
        rows = state_machine.table(ADAPTER)
        reply.rows = [rows[key] for key in rows if key.startswith(prefix)]
    elif request.what == "claim":
        claim = state_machine.claims.get(request.key)
        reply.claims = [claim] if claim else []
    elif request.what == "claims":
        running = [
            item for item in state_machine.claims.values() if item.answer is None
        ]
        reply.claims = running[:MAX_LISTED_CLAIMS]
    elif request.what == "job":
        job = state_machine.jobs.get(request.key)
        reply.jobs = [job] if job else []
    elif request.what == "suspects":
        reply.suspects = list(state_machine.suspects.values())
    elif request.what == "audit":
        reply.audit = list(state_machine.audit)
    return reply
