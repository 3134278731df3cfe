"""Tells the end of an answer without length from the end of a process."""

import asyncio

from apricotseam.http1 import LostConnectionError

# Time in which a target has to show that its process goes on.
CONFIRM_SECONDS = 1.0


async def check_answer_end(prober, call, answer, target):
    """Check that an answer which ended with its connection is complete.

    Where neither a length nor chunks are given, the connection also ends
    regularly when the process does. A target that ends its answer goes on to
    answer.

    Parameters
    ----------
    prober : TargetProber
        Asks the target's process.
    call : Call
        The request that was answered.
    answer : ResponseHead
        Head of the answer.
    target : Target
        The target that sent it.

    Raises
    ------
    LostConnectionError
        If the target's process does not show that it goes on.
    """
    if answer.has_framing:
        return
    now = asyncio.get_running_loop().time()
    deadline = min(call.deadline, now + CONFIRM_SECONDS)
    health_path = call.service.health_path
    if not await prober.confirms_process(target, health_path, deadline):
        raise LostConnectionError(
            f"{target.address} ended an answer without length, and its process"
            " does not answer any more",
            "repeat the request if it is idempotent",
        )
