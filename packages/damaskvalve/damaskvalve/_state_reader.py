"""Reads the replicated state for operators and entry hosts."""

from damaskvalve._configuration import ADAPTER
from damaskvalve_core.messages import ReadReply, ReadRequest
from damaskvalve_state import GroupNode

MAX_LISTED = 1_000


def read_state(node: GroupNode, request: ReadRequest) -> ReadReply:
    """Return what a read asks for; runs inside the group's actor."""
    machine = node.machine
    agreement = node.agreement
    reply = ReadReply(
        False,
        machine.revision,
        members=list(agreement.voters()),
        leader_address=agreement.leader_address,
        commit_index=agreement.commit_index,
        last_index=agreement.log.last_index,
        term=agreement.term,
    )
    if request.what == "rows":
        tables = [request.key] if request.key else machine.tables()
        reply.rows = [row for name in tables for row in machine.table(name).values()]
    elif request.what == "adapters":
        prefix = f"{request.key}/"
        rows = machine.table(ADAPTER)
        reply.rows = [rows[key] for key in rows if key.startswith(prefix)]
    elif request.what == "claim":
        claim = machine.claims.get(request.key)
        reply.claims = [claim] if claim else []
    elif request.what == "claims":
        running = [item for item in machine.claims.values() if item.answer is None]
        reply.claims = running[:MAX_LISTED]
    elif request.what == "job":
        job = machine.jobs.get(request.key)
        reply.jobs = [job] if job else []
    elif request.what == "suspects":
        reply.suspects = list(machine.suspects.values())
    elif request.what == "audit":
        reply.audit = list(machine.audit)
    return reply
