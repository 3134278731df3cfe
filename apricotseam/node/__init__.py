"""Assembly of one process that serves the users' platform."""

from apricotseam.node._node import Node
from apricotseam.node._settings import load_node_settings
from apricotseam.node._settings import NodeSettings

__all__ = ["Node", "NodeSettings", "load_node_settings"]
