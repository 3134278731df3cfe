"""Clocks, injected into the code for tests, and rates over time."""

from apricotseam.clock._bucket import TokenBucket
from apricotseam.clock._clock import Clock
from apricotseam.clock._clock import ManualClock
from apricotseam.clock._clock import SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock", "TokenBucket"]
