"""Scope files of operators, process settings and stored configuration."""

from apricotseam.config._chunks import ChunkCache
from apricotseam.config._chunks import is_intact
from apricotseam.config._chunks import make_reference
from apricotseam.config._chunks import split_text
from apricotseam.config._configuration import Configuration
from apricotseam.config._configuration import CONFIGURATION
from apricotseam.config._configuration import load_configuration
from apricotseam.config._configuration import load_document
from apricotseam.config._configuration import make_document
from apricotseam.config._difference import compare_scopes
from apricotseam.config._document import Document
from apricotseam.config._document import DocumentChange
from apricotseam.config._document import DocumentHistory
from apricotseam.config._document import StartupGate
from apricotseam.config._load import load_scope_file
from apricotseam.config._load import load_settings
from apricotseam.config._records import AuditEntry
from apricotseam.config._records import Change
from apricotseam.config._records import Difference
from apricotseam.config._records import Root
from apricotseam.config._records import ScopeChunks
from apricotseam.config._retry import Backoff
from apricotseam.config._retry import Retry
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
from apricotseam.config._store import ConfigurationStore

__all__ = [
    "Accelerator",
    "AuditEntry",
    "Backoff",
    "Bounds",
    "CONFIGURATION",
    "Call",
    "Choice",
    "Change",
    "ChunkCache",
    "Configuration",
    "ConfigurationStore",
    "Customer",
    "Difference",
    "Document",
    "DocumentChange",
    "DocumentHistory",
    "Fencing",
    "Group",
    "StartupGate",
    "LayerRange",
    "Link",
    "Model",
    "Operator",
    "Pipeline",
    "PlainService",
    "PriorityClass",
    "Retry",
    "Role",
    "Root",
    "ScopeChunks",
    "ScopeFile",
    "Settings",
    "Target",
    "TargetKind",
    "Tls",
    "WeightStoreLimit",
    "compare_scopes",
    "is_intact",
    "load_configuration",
    "load_document",
    "load_scope_file",
    "load_settings",
    "make_document",
    "make_reference",
    "split_text",
]
