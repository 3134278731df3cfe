"""The operators' HTTP application."""

from apricotseam.operators._configuration import ConfigurationCalls
from apricotseam.operators._dashboard import dashboard
from apricotseam.operators._status import StatusCalls
from apricotseam.web import Application
from apricotseam.web import Response

MAX_FILE_BYTES = 8 << 20


def healthy(request):
    """Answer ``GET /healthz`` while the listener serves."""
    return Response.of({})


def build_operators_application(context):
    """Return the application that serves the operators' interface.

    Parameters
    ----------
    context : OperatorContext
        Dependencies of the handlers.

    Returns
    -------
    Application
    """
    application = Application(MAX_FILE_BYTES)
    configuration = ConfigurationCalls(context)
    status = StatusCalls(context)
    route = application.route
    route("GET", "/", dashboard)
    route("GET", "/healthz", healthy)
    route("GET", "/readyz", status.ready)
    route("GET", "/metrics", status.metrics)
    route("POST", "/v1/admin/check", configuration.check)
    route("PUT", "/v1/admin/scopes/{scope}", configuration.apply)
    route("GET", "/v1/admin/scopes/{scope}", configuration.read)
    route("GET", "/v1/admin/changes/{change}", configuration.change)
    route("GET", "/v1/admin/audit", configuration.audit)
    route("GET", "/v1/admin/status", status.status)
    route("GET", "/v1/admin/revisions/{revision}", status.revision_spread)
    route("POST", "/v1/admin/drain", status.drain)
    return application
