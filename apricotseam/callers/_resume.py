"""Resumption of streamed answers after the host or connection was lost."""

import msgspec

from apricotseam.delivery import body_digest
from apricotseam.delivery import HandleSigner
from apricotseam.delivery import ResumeHandle
from apricotseam.errors import ConflictError
from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.errors import NotConfiguredError

RESUME_HEADER = "Apricotseam-Resume"
LAST_EVENT_HEADER = "Last-Event-ID"
RESUME_VALID_SECONDS = 600.0


class ResumePoint(msgspec.Struct, frozen=True, kw_only=True):
    """Position at which an answer continues; 0 for a new answer.

    ``handle`` is None for a new answer. ``delivered`` holds the tokens
    that the caller has received already and sent back, if it did.
    """

    handle: ResumeHandle | None = None
    position: int = 0
    delivered: tuple[str, ...] = ()


class Resumption:
    """Signs resume handles for new answers and checks returned ones.

    Parameters
    ----------
    settings : Settings
        Settings of the process, with the signing keys.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings, clock):
        self._signer = HandleSigner(settings.signing_keys)
        self._clock = clock

    def read(self, request, caller, body):
        """Return the `ResumePoint` of a request.

        Raises
        ------
        ForbiddenError
            If the handle was altered or belongs to another customer.
        InvalidRequestError
            If the handle has expired or was issued for another body, or if
            the position or the tokens sent back do not match it.
        ConflictError
            If the model version is no longer declared.
        NotConfiguredError
            If this host does not have the handle's configuration revision
            yet.
        """
        text = request.header(RESUME_HEADER)
        if text is None:
            return ResumePoint()
        handle = self._signer.open(text, self._clock.wall())
        _check_owner(handle, caller)
        _check_body(handle, body)
        _check_revision(handle, caller)
        position = _next_position(request, handle)
        delivered = tuple(body.delivered or ())
        if delivered and len(delivered) != position:
            raise InvalidRequestError(
                f"{len(delivered)} tokens sent back, but {position} delivered",
                "send back all tokens up to Last-Event-ID, or none",
            )
        return ResumePoint(
            handle=handle, position=position, delivered=delivered
        )

    def header(self, caller, body, plan):
        """Return name and value of the header for resuming an answer."""
        handle = ResumeHandle(
            scope=caller.scope_file.scope,
            customer=caller.customer.name,
            pipeline=body.model,
            model=plan.chain.model,
            version=plan.chain.version,
            stream=plan.stream,
            revision=caller.configuration.revision,
            position=plan.first_position,
            max_tokens=plan.max_tokens,
            digest=_request_digest(body),
            deadline=self._clock.wall() + RESUME_VALID_SECONDS,
        )
        return (RESUME_HEADER, self._signer.sign(handle))


def _check_owner(handle, caller):
    owner = (caller.scope_file.scope, caller.customer.name)
    if (handle.scope, handle.customer) != owner:
        raise ForbiddenError(
            "the resume handle belongs to another customer",
            "send the handle that came with your own answer",
        )


def _check_body(handle, body):
    if handle.pipeline != body.model or handle.digest != _request_digest(body):
        raise InvalidRequestError(
            "the resume handle was issued for another body",
            "send the body of the first request unchanged",
        )
    if not body.stream:
        raise InvalidRequestError(
            "only a streamed answer can be resumed", "set `stream` to true"
        )


def _check_revision(handle, caller):
    revision = caller.configuration.revision
    if revision < handle.revision:
        raise NotConfiguredError(
            f"this host has revision {revision}, not {handle.revision} yet",
            "try another address",
            retry_after=1,
        )
    scope_file = caller.scope_file
    model_names = {
        p.model for p in scope_file.pipelines if p.name == handle.pipeline
    }
    for model in scope_file.models:
        is_pipeline_model = (
            model.name == handle.model and model.name in model_names
        )
        if is_pipeline_model and handle.version in model.versions:
            return
    raise ConflictError(
        f"version {handle.version!r} is no longer declared",
        "send the request again without the resume handle",
    )


def _next_position(request, handle):
    text = request.header(LAST_EVENT_HEADER)
    if text is None:
        return handle.position
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise InvalidRequestError(
            f"Last-Event-ID {text!r} is not a position",
            "send the id of the last event that arrived",
        )
    position = int(text) + 1
    if not handle.position <= position <= handle.max_tokens:
        raise InvalidRequestError(
            f"Last-Event-ID {text} is outside the answer",
            "send the id of the last event that arrived",
        )
    return position


def _request_digest(body):
    messages = [(m.role, m.content) for m in body.messages]
    return body_digest(body.model, messages)
