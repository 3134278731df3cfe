"""Tells the end of an answer without length from the end of a process."""

from apricotseam.http1 import LostConnectionError


async def check_answer_end(prober, answer, target):
    """Check that an answer which ended with its connection is complete.

    Where neither a length nor chunks are given, the connection also ends
    regularly when the process does. A target that ends its answer goes on to
    listen.

    Parameters
    ----------
    prober : TargetProber
        Tells whether the target's process has ended.
    answer : ResponseHead
        Head of the answer.
    target : Target
        The target that sent it.

    Raises
    ------
    LostConnectionError
        If the target's process has ended.
    """
    if answer.has_framing:
        return
    if await prober.has_ended(target):
        raise LostConnectionError(
            f"{target.address} ended an answer without length together with"
            " its process",
            "repeat the request if it is idempotent",
        )
