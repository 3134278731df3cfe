"""Runs whole processes under random faults and checks what they promise.

The faults come from outside the processes: signals, loopback proxies and
stand-ins of the platform that misbehave.
"""

from soak._faults import draw_faults
from soak._promises import broken_promises
from soak._proxy import Proxy
from soak._run import run_seed

__all__ = ["Proxy", "broken_promises", "draw_faults", "run_seed"]
