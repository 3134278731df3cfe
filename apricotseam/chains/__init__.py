"""Chains of targets: layout of layers, choice of chains, memory in use."""

from apricotseam.chains._cost import ChainModel
from apricotseam.chains._layout import AcceleratorSpec
from apricotseam.chains._layout import plan_zone
from apricotseam.chains._ledger import Booking
from apricotseam.chains._ledger import Ledger
from apricotseam.chains._ledger import PeerUsage
from apricotseam.chains._ledger import sum_usages
from apricotseam.chains._ledger import Usage
from apricotseam.chains._paths import ChainStage
from apricotseam.chains._paths import covers_layers
from apricotseam.chains._paths import find_chain
from apricotseam.chains._paths import Holder
from apricotseam.chains._repair import choose_orders
from apricotseam.chains._repair import LayerOrder
from apricotseam.chains._start_model import link_resource
from apricotseam.chains._start_model import StageLoad
from apricotseam.chains._start_model import StartEstimate
from apricotseam.chains._start_model import StartModel
from apricotseam.chains._start_model import tokens_to_read

__all__ = [
    "Booking",
    "AcceleratorSpec",
    "ChainModel",
    "ChainStage",
    "Holder",
    "LayerOrder",
    "Ledger",
    "PeerUsage",
    "StageLoad",
    "StartEstimate",
    "StartModel",
    "Usage",
    "choose_orders",
    "covers_layers",
    "find_chain",
    "link_resource",
    "plan_zone",
    "sum_usages",
    "tokens_to_read",
]
