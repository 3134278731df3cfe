"""Emulator of engines, hosts and callers in simulated time.

The hosts decide by the classes of the product: queue, choice of chains,
ledger, retry budget, probes, exchange of usage and placement. Engines,
links, the store and callers are emulated, without network or waiting. What
the model leaves out is in docs/measuring.md.
"""

from measure.emulator._caller import Outcome
from measure.emulator._caller import Result
from measure.emulator._compare import compare_policies
from measure.emulator._pattern import Pattern
from measure.emulator._patterns import PATTERNS
from measure.emulator._policy import BaselinePolicy
from measure.emulator._policy import Policy
from measure.emulator._policy import ProductPolicy
from measure.emulator._report import by_class
from measure.emulator._report import by_customer
from measure.emulator._report import count_results
from measure.emulator._report import credit_share
from measure.emulator._report import Figures
from measure.emulator._report import format_report
from measure.emulator._report import sent_between
from measure.emulator._simulation import Scenario
from measure.emulator._simulation import Simulation

__all__ = [
    "BaselinePolicy",
    "Figures",
    "Outcome",
    "PATTERNS",
    "Pattern",
    "Policy",
    "ProductPolicy",
    "Result",
    "Scenario",
    "Simulation",
    "by_class",
    "by_customer",
    "compare_policies",
    "count_results",
    "credit_share",
    "format_report",
    "sent_between",
]
