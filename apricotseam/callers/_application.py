"""The callers' HTTP application."""

from apricotseam.callers._addresses import Addresses
from apricotseam.callers._completions import Completions
from apricotseam.callers._services import Services
from apricotseam.web import Application
from apricotseam.web import Response


def build_callers_application(context):
    """Return the application that callers reach.

    Parameters
    ----------
    context : CallerContext
        Parts of the request path.

    Returns
    -------
    Application
    """
    bounds = context.settings.bounds
    application = Application(bounds.body_bytes)
    completions = Completions(context)
    services = Services(context)
    addresses = Addresses(context)
    application.route("GET", "/healthz", lambda request: Response.of({}))
    application.route("GET", "/v1/addresses", addresses.handle)
    application.route("GET", "/v1/models", completions.list_models)
    application.route("POST", "/v1/chat/completions", completions.handle)
    application.route("*", "/v1/services/{service}/{path*}", services.handle)
    return application
