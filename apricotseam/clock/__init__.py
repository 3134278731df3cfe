"""Sources of time, passed to every decision so that tests can set it."""

from apricotseam.clock._clock import Clock
from apricotseam.clock._clock import ManualClock
from apricotseam.clock._clock import SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
