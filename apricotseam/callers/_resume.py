"""Resumption of answers whose host or connection was lost."""

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
    """Where an answer goes on; a new answer begins at position 0.

    ``handle`` is None for a new answer; ``delivered`` are the tokens that
    the caller sent back.
    """

    handle: ResumeHandle | None = None
    position: int = 0
    delivered: tuple[str, ...] = ()


class Resumption:
    """Signs the handles of new answers and checks those that come back.

    Parameters
    ----------
    settings : Settings
        Holds the signing keys.
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
            If the handle was altered or is another customer's.
        InvalidRequestError
            If it is past its deadline or for another body, or if the
            position or the tokens sent back do not fit.
        ConflictError
            If the version is not declared any more.
        NotConfiguredError
            If this host does not have the handle's revision yet.
        """
        text = request.header(RESUME_HEADER)
        if text is None:
            return ResumePoint()
        handle = self._signer.open(text, self._clock.wall())
        _check_owner(handle, caller)
        _check_body(handle, body)
        _check_revision(handle, caller)
        position = _position(request, handle)
        delivered = tuple(body.delivered or ())
        if delivered and len(delivered) != position:
            raise InvalidRequestError(
                f"{len(delivered)} tokens sent back, {position} delivered",
                "send back all tokens up to Last-Event-ID, or none",
            )
        return ResumePoint(
            handle=handle, position=position, delivered=delivered
        )

    def header(self, caller, body, plan):
        """Return the header that lets the caller resume an answer."""
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
            digest=_digest(body),
            deadline=self._clock.wall() + RESUME_VALID_SECONDS,
        )
        return (RESUME_HEADER, self._signer.sign(handle))


def _check_owner(handle, caller):
    owner = (caller.scope_file.scope, caller.customer.name)
    if (handle.scope, handle.customer) != owner:
        raise ForbiddenError(
            "the resume handle is another customer's",
            "send the handle that came with your own answer",
        )


def _check_body(handle, body):
    if handle.pipeline != body.model or handle.digest != _digest(body):
        raise InvalidRequestError(
            "the resume handle is for another body",
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
            f"this host has revision {revision}, not yet {handle.revision}",
            "try another address",
            retry_after=1,
        )
    scope_file = caller.scope_file
    names = {
        p.model for p in scope_file.pipelines if p.name == handle.pipeline
    }
    for model in scope_file.models:
        is_same = model.name == handle.model and model.name in names
        if is_same and handle.version in model.versions:
            return
    raise ConflictError(
        f"version {handle.version!r} is not declared any more",
        "send the request again without the resume handle",
    )


def _position(request, handle):
    text = request.header(LAST_EVENT_HEADER)
    if text is None:
        return handle.position
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise InvalidRequestError(
            f"Last-Event-ID {text!r} is no position",
            "send the id of the last event that arrived",
        )
    position = int(text) + 1
    if not handle.position <= position <= handle.max_tokens:
        raise InvalidRequestError(
            f"Last-Event-ID {text} is outside the answer",
            "send the id of the last event that arrived",
        )
    return position


def _digest(body):
    messages = [(m.role, m.content) for m in body.messages]
    return body_digest(body.model, messages)
