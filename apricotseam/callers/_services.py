"""Pass-through of calls to plain services."""

import time
import uuid

from apricotseam.callers._context import authenticate
from apricotseam.errors import AnswerLostError
from apricotseam.errors import NoTargetError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import UnknownNameError
from apricotseam.web import Response

CALL_TIMEOUT_SECONDS = 10.0


class Services:
    """Routes calls to plain services.

    Parameters
    ----------
    context : CallerContext
        Parts of the request path.
    """

    def __init__(self, context):
        self._context = context

    def handle(self, request):
        """Answer ``/v1/services/{service}/{path}``."""
        caller = authenticate(request, self._context.snapshots)
        service = _service(caller, request.arguments["service"])
        path = "/" + request.arguments["path"]
        call = _call(service, request.method, path)
        table = self._context.snapshots.targets
        targets = table.usable(caller.scope_file.scope, service.group)
        if not targets:
            raise NoTargetError(
                f"no target of service {service.name!r} is up",
                "try again later",
                retry_after=1,
            )
        target = self._context.random.choice(targets)
        return self._forward(request, call, target, path)

    def _forward(self, request, call, target, path):
        query = f"?{request.query}" if request.query else ""
        headers = {
            "X-Request-Id": request.header("X-Request-Id") or uuid.uuid4().hex,
            "Content-Type": request.header("Content-Type") or "",
        }
        try:
            answer = self._context.http.call(
                target.address,
                request.method,
                path + query,
                request.body(),
                time.monotonic() + CALL_TIMEOUT_SECONDS,
                headers,
            )
        except AnswerLostError:
            raise OutcomeUnknownError(
                f"target {target.name} took the call and gave no answer",
                "read the state of your request before sending it again",
            ) from None
        return Response(
            answer.status,
            answer.body,
            answer.headers.get("Content-Type", "application/octet-stream"),
        )


def _service(caller, name):
    for service in caller.scope_file.services:
        if service.name == name:
            return service
    raise UnknownNameError(
        f"unknown service {name!r}", "ask your operator for its name"
    )


def _call(service, method, path):
    matching = [
        call
        for call in service.calls
        if call.method == method and path.startswith(call.path)
    ]
    if not matching:
        raise UnknownNameError(
            f"service {service.name!r} declares no call {method} {path}",
            "ask your operator to declare it",
        )
    return max(matching, key=lambda call: len(call.path))
