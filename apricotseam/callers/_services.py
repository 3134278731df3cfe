"""Pass-through of calls to plain services."""

import hashlib
import uuid

from apricotseam.callers._attempts import Attempts
from apricotseam.callers._context import authenticate
from apricotseam.callers._work import describe_work
from apricotseam.errors import AnswerLostError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import UnknownNameError
from apricotseam.execution import ExecutionRequest
from apricotseam.routing import Demand
from apricotseam.web import Response

CALL_TIMEOUT_SECONDS = 10.0
FAILURE_STATUSES = frozenset((500, 502, 503, 504))
TICKET_HEADER = "Apricotseam-Ticket"
KEY_HEADER = "Idempotency-Key"


class Services:
    """Routes calls to plain services.

    Parameters
    ----------
    context : CallerContext
        Parts of the request path.
    """

    def __init__(self, context):
        self._context = context
        self._attempts = Attempts(context.retries, context.clock)

    def handle(self, request):
        """Answer ``/v1/services/{service}/{path}``."""
        caller = authenticate(request, self._context.snapshots)
        service = _service(caller, request.arguments["service"])
        path = "/" + request.arguments["path"]
        call = _call(service, request.method, path)
        forward = Forward(request, path)
        work = describe_work(
            request,
            caller,
            self._context.clock,
            forward.identifier,
            service.group,
            call.priority,
            1,
        )
        permit = self._context.admission.admit(work)
        try:
            return self._run(caller, service, call, forward, work)
        finally:
            permit.close(1)

    def _run(self, caller, service, call, forward, work):
        demand = Demand(
            scope=caller.scope_file.scope,
            group=service.group,
            customer=caller.customer.name,
        )

        def send():
            return self._send(demand, forward, call, work.deadline)

        if call.idempotent:
            return send()
        once = ExecutionRequest(
            scope=demand.scope,
            customer=demand.customer,
            digest=forward.digest,
            ticket=forward.ticket,
            key=forward.key,
        )
        return self._context.execution.run_once(once, send)

    def _send(self, demand, forward, call, deadline):
        try:
            return self._attempts.run(
                demand,
                deadline,
                call.idempotent,
                lambda left, tried: self._attempt(left, tried, forward),
            )
        except AnswerLostError:
            raise OutcomeUnknownError(
                f"a target of {demand.group} took the call and gave no answer",
                "read the state of your request before sending it again",
            ) from None

    def _attempt(self, demand, tried, forward):
        chooser = self._context.chooser
        target = chooser.choose_target(self._context.snapshots.targets, demand)
        tried.append(target.name)
        begun = self._context.clock.monotonic()
        is_success = False
        chooser.started(target.address)
        try:
            answer = self._context.http.call(
                target.address,
                forward.method,
                forward.path,
                forward.body,
                begun + CALL_TIMEOUT_SECONDS,
                forward.headers,
            )
            is_success = answer.status not in FAILURE_STATUSES
        finally:
            seconds = self._context.clock.monotonic() - begun
            chooser.ended(target.address)
            for observer in (chooser, self._context.admission):
                observer.observed(target.address, is_success, seconds)
        return Response(
            answer.status,
            answer.body,
            answer.headers.get("Content-Type", "application/octet-stream"),
        )


class Forward:
    """A call as it is passed on to a target.

    Parameters
    ----------
    request : Request
        The caller's request.
    path : str
        Path at the target.
    """

    __slots__ = (
        "body",
        "digest",
        "headers",
        "identifier",
        "key",
        "method",
        "path",
        "ticket",
    )

    def __init__(self, request, path):
        self.method = request.method
        self.path = f"{path}?{request.query}" if request.query else path
        self.body = request.body()
        self.identifier = request.header("X-Request-Id") or uuid.uuid4().hex
        self.ticket = request.header(TICKET_HEADER)
        self.key = request.header(KEY_HEADER)
        self.headers = {"X-Request-Id": self.identifier}
        content_type = request.header("Content-Type")
        if content_type:
            self.headers["Content-Type"] = content_type
        text = f"{self.method} {self.path}\n".encode()
        self.digest = hashlib.sha256(text + self.body).hexdigest()


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
