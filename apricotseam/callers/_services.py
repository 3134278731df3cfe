"""Pass-through of calls to plain services."""

import hashlib
import urllib.parse
import uuid

from apricotseam.callers._attempts import Attempts
from apricotseam.callers._context import authenticate
from apricotseam.callers._paths import checked_identifier
from apricotseam.callers._paths import checked_path
from apricotseam.callers._paths import is_below
from apricotseam.callers._work import describe_work
from apricotseam.errors import AnswerLostError
from apricotseam.errors import ApricotseamError
from apricotseam.errors import Outcome
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import unknown_name
from apricotseam.errors import UnknownNameError
from apricotseam.execution import ExecutionRequest
from apricotseam.routing import Demand
from apricotseam.web import Response

CALL_TIMEOUT_SECONDS = 10.0
FAILURE_STATUSES = frozenset((500, 502, 503, 504))
TICKET_HEADER = "Apricotseam-Ticket"
KEY_HEADER = "Idempotency-Key"
REPEAT_HEADER = "Apricotseam-Repeat"


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
        try:
            call = self._prepare(request)
        except ApricotseamError as error:
            raise _for_repeat(error, request) from None
        if call.idempotent:
            return self._admit_and_send(call)
        return self._context.execution.run_once(
            call.once, lambda: self._admit_and_send(call)
        )

    def _prepare(self, request):
        caller = authenticate(request, self._context.snapshots)
        service = _service(caller, request.arguments["service"])
        path = checked_path("/" + request.arguments["path"])
        declared = _call(service, request.method, path)
        forward = Forward(request, path)
        work = describe_work(
            request,
            caller,
            self._context.clock,
            forward.identifier,
            service.group,
            declared.priority,
            1,
        )
        demand = Demand(
            scope=caller.scope_file.scope,
            group=service.group,
            customer=caller.customer.name,
        )
        targets = [] if request.record is None else request.record.targets
        return PreparedCall(
            demand, forward, work, declared.idempotent, targets
        )

    def _admit_and_send(self, call):
        permit = self._context.admission.admit(call.work)
        try:
            return self._send(call)
        finally:
            permit.close(1)

    def _send(self, call):
        try:
            return self._attempts.run(
                call.demand,
                call.work.deadline,
                call.idempotent,
                lambda left, tried: self._attempt(left, tried, call),
            )
        except AnswerLostError:
            raise OutcomeUnknownError(
                f"a target of {call.demand.group} took the call and did not"
                " answer",
                "read the state of your request before sending it again",
            ) from None

    def _attempt(self, demand, tried, call):
        http = self._context.http
        send = http.call if call.idempotent else http.call_afresh
        forward = call.forward
        chooser = self._context.chooser
        target = chooser.choose_target(self._context.snapshots.targets, demand)
        tried.append(target.name)
        call.targets.append(target.name)
        begun = self._context.clock.monotonic()
        is_success = False
        chooser.started(target.address)
        try:
            answer = send(
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


class PreparedCall:
    """A call that was checked and may be run.

    Parameters
    ----------
    demand : Demand
        What it needs of the targets.
    forward : Forward
        The call as it is passed on.
    work : Work
        The call as admission sees it.
    idempotent : bool
        Whether it may be repeated.
    targets : list of str
        Takes the names of the targets that it is sent to.
    """

    __slots__ = ("demand", "forward", "idempotent", "targets", "work")

    def __init__(self, demand, forward, work, idempotent, targets):
        self.demand = demand
        self.forward = forward
        self.work = work
        self.idempotent = idempotent
        self.targets = targets

    @property
    def once(self):
        """The `ExecutionRequest` of the call."""
        return ExecutionRequest(
            scope=self.demand.scope,
            customer=self.demand.customer,
            digest=self.forward.digest,
            ticket=self.forward.ticket,
            key=self.forward.key,
            is_repeat=self.forward.is_repeat,
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
        "is_repeat",
        "key",
        "method",
        "path",
        "ticket",
    )

    def __init__(self, request, path):
        self.method = request.method
        quoted = urllib.parse.quote(path)
        self.path = f"{quoted}?{request.query}" if request.query else quoted
        self.body = request.body()
        self.identifier = checked_identifier(request) or uuid.uuid4().hex
        self.ticket = request.header(TICKET_HEADER)
        self.key = request.header(KEY_HEADER)
        self.is_repeat = _is_repeat(request)
        self.headers = {"X-Request-Id": self.identifier}
        content_type = request.header("Content-Type")
        if content_type:
            self.headers["Content-Type"] = content_type
        text = f"{self.method} {self.path}\n".encode()
        self.digest = hashlib.sha256(text + self.body).hexdigest()


def _is_repeat(request):
    return request.header(REPEAT_HEADER, "").lower() in ("1", "true")


def _for_repeat(error, request):
    """Return the error of a refusal, as far as it holds for a repeat.

    The refusal of a copy proves nothing about copies sent before it.
    """
    if error.outcome is not Outcome.NOT_RUN or not _is_repeat(request):
        return error
    return OutcomeUnknownError(
        f"this copy was not run, an earlier one may have been: {error.found}",
        error.remedy,
        error.retry_after,
    )


def _service(caller, name):
    for service in caller.scope_file.services:
        if service.name == name:
            return service
    known = [service.name for service in caller.scope_file.services]
    raise UnknownNameError(
        unknown_name("service", name, known), "ask your operator for its name"
    )


def _call(service, method, path):
    matching = [
        call
        for call in service.calls
        if call.method == method and is_below(path, call.path)
    ]
    if not matching:
        raise UnknownNameError(
            f"service {service.name!r} declares no call {method} {path}",
            "ask your operator to declare it",
        )
    return max(matching, key=lambda call: len(call.path))
