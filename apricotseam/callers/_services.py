"""Forwards calls to plain services, which are not model engines."""

import hashlib
import urllib.parse
import uuid

from apricotseam.callers._attempts import AttemptRunner
from apricotseam.callers._context import authenticate
from apricotseam.callers._paths import is_path_under
from apricotseam.callers._paths import read_request_identifier
from apricotseam.callers._paths import validate_path
from apricotseam.callers._work import build_work
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
# Statuses that are observed as a failure of the target. They are passed on
# to the caller and not retried.
FAILURE_STATUSES = frozenset((500, 502, 503, 504))
TICKET_HEADER = "Apricotseam-Ticket"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPEAT_HEADER = "Apricotseam-Repeat"


class Services:
    """Routes calls to plain services.

    Parameters
    ----------
    context : CallerContext
        Dependencies of the handlers.
    """

    def __init__(self, context):
        self._context = context
        self._attempts = AttemptRunner(context.retries, context.clock)

    def handle(self, request):
        """Answer ``/v1/services/{service}/{path}``."""
        try:
            call = self._prepare(request)
        except ApricotseamError as error:
            raise _error_for_repeat(error, request) from None
        if call.idempotent:
            return self._admit_and_send(call)
        return self._context.execution.run_once(
            call.execution_request, lambda: self._admit_and_send(call)
        )

    def _prepare(self, request):
        caller = authenticate(request, self._context.snapshots)
        service = _find_service(caller, request.arguments["service"])
        path = validate_path("/" + request.arguments["path"])
        declared_call = _find_call(service, request.method, path)
        forwarded_call = ForwardedCall(request, path)
        work = build_work(
            request,
            caller,
            self._context.clock,
            forwarded_call.identifier,
            service.group,
            declared_call.priority,
            1,
        )
        demand = Demand(
            scope=caller.scope_file.scope,
            group=service.group,
            customer=caller.customer.name,
        )
        targets = [] if request.record is None else request.record.targets
        return PreparedCall(
            demand, forwarded_call, work, declared_call.idempotent, targets
        )

    def _admit_and_send(self, call):
        permit = self._context.admission.admit(call.work)
        try:
            return self._send_with_retries(call)
        finally:
            permit.close(1)

    def _send_with_retries(self, call):
        try:
            return self._attempts.run(
                call.demand,
                call.work.deadline,
                call.idempotent,
                lambda demand, tried: self._send_to_target(
                    demand, tried, call
                ),
            )
        except AnswerLostError:
            raise OutcomeUnknownError(
                f"a target of group {call.demand.group} received the call but"
                " did not answer",
                "read the state of your request before sending it again",
            ) from None

    def _send_to_target(self, demand, tried, call):
        http = self._context.http
        send = http.call if call.idempotent else http.call_on_new_connection
        forwarded_call = call.forwarded_call
        chooser = self._context.chooser
        target = chooser.choose_target(self._context.snapshots.targets, demand)
        tried.append(target.name)
        call.targets.append(target.name)
        started_at = self._context.clock.monotonic()
        is_success = False
        chooser.started(target.address)
        try:
            answer = send(
                target.address,
                forwarded_call.method,
                forwarded_call.path,
                forwarded_call.body,
                started_at + CALL_TIMEOUT_SECONDS,
                forwarded_call.headers,
            )
            is_success = answer.status not in FAILURE_STATUSES
        finally:
            seconds = self._context.clock.monotonic() - started_at
            chooser.ended(target.address)
            for observer in (chooser, self._context.admission):
                observer.observed(target.address, is_success, seconds)
        return Response(
            answer.status,
            answer.body,
            answer.headers.get("Content-Type", "application/octet-stream"),
        )


class PreparedCall:
    """A validated call with all that is needed to run it.

    Parameters
    ----------
    demand : Demand
        What the call needs of its target.
    forwarded_call : ForwardedCall
        The call as it is sent to the target.
    work : Work
        The call as admission control sees it.
    idempotent : bool
        Whether the call may run more than once.
    targets : list of str
        List to which the name of each target that it is sent to is added.
    """

    __slots__ = ("demand", "forwarded_call", "idempotent", "targets", "work")

    def __init__(self, demand, forwarded_call, work, idempotent, targets):
        self.demand = demand
        self.forwarded_call = forwarded_call
        self.work = work
        self.idempotent = idempotent
        self.targets = targets

    @property
    def execution_request(self):
        """The `ExecutionRequest` for running the call at most once."""
        return ExecutionRequest(
            scope=self.demand.scope,
            customer=self.demand.customer,
            digest=self.forwarded_call.digest,
            ticket=self.forwarded_call.ticket,
            key=self.forwarded_call.key,
            is_repeat=self.forwarded_call.is_repeat,
        )


class ForwardedCall:
    """A call as it is sent to a target.

    Parameters
    ----------
    request : Request
        The caller's request.
    path : str
        Path at the target, percent-decoded.
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
        quoted_path = urllib.parse.quote(path)
        self.path = (
            f"{quoted_path}?{request.query}" if request.query else quoted_path
        )
        self.body = request.body()
        self.identifier = read_request_identifier(request) or uuid.uuid4().hex
        self.ticket = request.header(TICKET_HEADER)
        self.key = request.header(IDEMPOTENCY_KEY_HEADER)
        self.is_repeat = _is_repeat(request)
        self.headers = {"X-Request-Id": self.identifier}
        content_type = request.header("Content-Type")
        if content_type:
            self.headers["Content-Type"] = content_type
        request_line = f"{self.method} {self.path}\n".encode()
        self.digest = hashlib.sha256(request_line + self.body).hexdigest()


def _is_repeat(request):
    return request.header(REPEAT_HEADER, "").lower() in ("1", "true")


def _error_for_repeat(error, request):
    """Return the error to report, given that the request may be a repeat.

    That this copy was not run proves nothing about copies sent before it,
    so the outcome of a repeat is reported as unknown.
    """
    if error.outcome is not Outcome.NOT_RUN or not _is_repeat(request):
        return error
    return OutcomeUnknownError(
        f"this copy was not run, an earlier one may have run: {error.found}",
        error.remedy,
        error.retry_after,
    )


def _find_service(caller, name):
    for service in caller.scope_file.services:
        if service.name == name:
            return service
    known = [service.name for service in caller.scope_file.services]
    raise UnknownNameError(
        unknown_name("service", name, known), "ask your operator for its name"
    )


def _find_call(service, method, path):
    matching = [
        call
        for call in service.calls
        if call.method == method and is_path_under(path, call.path)
    ]
    if not matching:
        raise UnknownNameError(
            f"service {service.name!r} declares no call {method} {path}",
            "ask your operator to declare it",
        )
    return max(matching, key=lambda call: len(call.path))
