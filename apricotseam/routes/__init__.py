"""Routes, services and customers declared in the configuration."""

from apricotseam.routes._engine import AcceleratorKind
from apricotseam.routes._engine import EngineProfile
from apricotseam.routes._load_policy import LoadFeatures
from apricotseam.routes._load_policy import LoadPolicy
from apricotseam.routes._load_policy import NO_FEATURES
from apricotseam.routes._load_policy import Switch
from apricotseam.routes._routes import Customer
from apricotseam.routes._routes import RepeatPolicy
from apricotseam.routes._routes import Route
from apricotseam.routes._routes import Service
from apricotseam.routes._routes import ServiceShare
from apricotseam.routes._table import RouteTable

__all__ = [
    "AcceleratorKind",
    "Customer",
    "EngineProfile",
    "LoadFeatures",
    "LoadPolicy",
    "NO_FEATURES",
    "RepeatPolicy",
    "Route",
    "RouteTable",
    "Service",
    "ServiceShare",
    "Switch",
]
