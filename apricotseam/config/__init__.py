"""Operators' files, process settings and the configuration in force."""

from apricotseam.config._inforce import Configuration
from apricotseam.config._inforce import load_configuration
from apricotseam.config._load import load_scope_file
from apricotseam.config._load import load_settings
from apricotseam.config._schema import Accelerator
from apricotseam.config._schema import Call
from apricotseam.config._schema import Customer
from apricotseam.config._schema import Fencing
from apricotseam.config._schema import Group
from apricotseam.config._schema import LayerRange
from apricotseam.config._schema import Link
from apricotseam.config._schema import Model
from apricotseam.config._schema import Pipeline
from apricotseam.config._schema import PlainService
from apricotseam.config._schema import PriorityClass
from apricotseam.config._schema import ScopeFile
from apricotseam.config._schema import Target
from apricotseam.config._schema import TargetKind
from apricotseam.config._schema import WeightStoreLimit
from apricotseam.config._settings import Bounds
from apricotseam.config._settings import Choice
from apricotseam.config._settings import Operator
from apricotseam.config._settings import Role
from apricotseam.config._settings import Settings
from apricotseam.config._settings import Tls
from apricotseam.config._store import AuditEntry
from apricotseam.config._store import Change
from apricotseam.config._store import ConfigurationStore
from apricotseam.config._store import Root

__all__ = [
    "Accelerator",
    "AuditEntry",
    "Bounds",
    "Call",
    "Choice",
    "Change",
    "Configuration",
    "ConfigurationStore",
    "Customer",
    "Fencing",
    "Group",
    "LayerRange",
    "Link",
    "Model",
    "Operator",
    "Pipeline",
    "PlainService",
    "PriorityClass",
    "Role",
    "Root",
    "ScopeFile",
    "Settings",
    "Target",
    "TargetKind",
    "Tls",
    "WeightStoreLimit",
    "load_configuration",
    "load_scope_file",
    "load_settings",
]
