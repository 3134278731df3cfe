"""Runs host processes under random faults and checks their invariants.

The faults are injected from outside the processes: by signals, by loopback
proxies and by misbehaving stand-ins of the platform.
"""

from soak._faults import draw_faults
from soak._invariants import find_violations
from soak._proxy import Proxy
from soak._run import run_seed

__all__ = ["Proxy", "draw_faults", "find_violations", "run_seed"]
