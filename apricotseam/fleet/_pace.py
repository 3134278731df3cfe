"""Pace of one target process: how much start work it may have under way."""

import msgspec


class PaceNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells others about the pace of a target process.

    ``born_ms`` is the start time of the process, as in `TargetRecord`.
    ``allowance_ms`` is the start work in milliseconds that all hosts
    together may have under way there. ``was_lowered`` tells whether the last
    change lowered it, ``age_seconds`` the time since then.
    """

    born_ms: int
    allowance_ms: float
    was_lowered: bool
    age_seconds: float
