"""Router process that uses the store and formats of `apricotseam.platform`."""

from apricotseam.node._main import main
from apricotseam.node._node import Node
from apricotseam.node._settings import is_node_settings
from apricotseam.node._settings import load_node_settings
from apricotseam.node._settings import NodeSettings

__all__ = [
    "Node",
    "NodeSettings",
    "is_node_settings",
    "load_node_settings",
    "main",
]
