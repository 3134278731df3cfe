"""The callers' HTTP application."""

from apricotseam.callers._addresses import Addresses
from apricotseam.callers._completions import Completions
from apricotseam.callers._journal import RequestObserver
from apricotseam.callers._services import Services
from apricotseam.web import Application
from apricotseam.web import Response


def healthy(request):
    """Answer ``GET /healthz`` while the listener serves."""
    return Response.of({})


def build_callers_application(context):
    """Return the application that serves the callers' interface.

    Parameters
    ----------
    context : CallerContext
        Dependencies of the handlers.

    Returns
    -------
    Application
    """
    bounds = context.settings.bounds
    application = Application(bounds.body_bytes)
    completions = Completions(context)
    services = Services(context)
    addresses = Addresses(context)
    observer = RequestObserver(context)
    route = application.route
    route("GET", "/healthz", healthy)
    route("GET", "/v1/addresses", addresses.handle)
    route("GET", "/v1/models", completions.list_models)
    route("GET", "/v1/usage", observer.usage)
    route("POST", "/v1/chat/completions", observer.observe(completions.handle))
    route(
        "*",
        "/v1/services/{service}/{path*}",
        observer.observe(services.handle),
    )
    return application
