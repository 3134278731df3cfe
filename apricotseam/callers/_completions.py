"""Chat completions: request validation and streamed answers."""

import hashlib
import logging
import uuid

import msgspec

from apricotseam.callers._context import authenticate
from apricotseam.callers._resume import Resumption
from apricotseam.callers._work import build_work
from apricotseam.errors import ApricotseamError
from apricotseam.errors import FailedError
from apricotseam.errors import unknown_name
from apricotseam.errors import UnknownNameError
from apricotseam.pipelines import StreamPlan
from apricotseam.routing import Demand
from apricotseam.routing import TableStageChooser
from apricotseam.routing import VersionChooser
from apricotseam.web import error_body
from apricotseam.web import Response

_LOG = logging.getLogger(__name__)

EVENT_STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
# Average for estimating the length of a prompt in tokens from its bytes.
BYTES_PER_TOKEN = 4


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class CompletionBody(msgspec.Struct):
    """The supported fields of the body of a chat completion.

    ``delivered`` holds the tokens already received, which a caller may
    send back to resume an answer.
    """

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    delivered: list[str] | None = None


class Completions:
    """Answers chat completions.

    Parameters
    ----------
    context : CallerContext
        Dependencies of the handlers.
    """

    def __init__(self, context):
        self._context = context
        self._version_chooser = VersionChooser()
        self._resumption = Resumption(context.settings, context.clock)

    def handle(self, request):
        """Answer ``POST /v1/chat/completions``."""
        caller = authenticate(request, self._context.snapshots)
        body = request.json(CompletionBody)
        pipeline = _find_pipeline(caller, body.model)
        resume_point = self._resumption.read(request, caller, body)
        max_tokens = _max_answer_tokens(pipeline, body)
        if resume_point.handle is not None:
            max_tokens = resume_point.handle.max_tokens
        work = build_work(
            request,
            caller,
            self._context.clock,
            uuid.uuid4().hex,
            pipeline.group,
            pipeline.default_priority,
            max(1, max_tokens - resume_point.position),
        )
        if resume_point.position >= max_tokens:
            return _stream_response(iter([DONE_EVENT]), [])
        permit = self._context.admission.admit(work)
        try:
            plan = self._plan(caller, pipeline, body, work, resume_point)
            if request.record is not None:
                request.record.targets = [s.target for s in plan.chain.stages]
        except BaseException:
            permit.close()
            raise
        stage_chooser = TableStageChooser(
            self._context.snapshots, work.scope, pipeline.group
        )
        tokens = _close_permit_at_end(
            self._context.runner.run(plan, stage_chooser), permit
        )
        if body.stream:
            header = self._resumption.header(caller, body, plan)
            return _stream_response(
                _event_stream(plan, tokens, body.model), [header]
            )
        text = "".join(token.text for token in tokens)
        return Response.of(_completion(plan, body.model, text))

    def list_models(self, request):
        """Answer ``GET /v1/models``."""
        caller = authenticate(request, self._context.snapshots)
        models = [
            {"id": pipeline.name, "object": "model", "owned_by": "apricotseam"}
            for pipeline in caller.scope_file.pipelines
        ]
        return Response.of({"object": "list", "data": models})

    def _plan(self, caller, pipeline, body, work, resume_point):
        scope_file = caller.scope_file
        model = next(m for m in scope_file.models if m.name == pipeline.model)
        if resume_point.handle is not None:
            model = msgspec.structs.replace(
                model, serving=resume_point.handle.version
            )
        prompt = msgspec.json.encode(
            [(message.role, message.content) for message in body.messages]
        )
        prefix = _prefix_digest(caller, pipeline, body)
        demand = Demand(
            scope=scope_file.scope,
            group=pipeline.group,
            customer=caller.customer.name,
            prefix=prefix,
            tokens=work.tokens,
            prompt_tokens=len(prompt) // BYTES_PER_TOKEN,
        )
        table = self._context.snapshots.targets
        chooser = self._context.chooser
        if resume_point.handle is not None:
            chain = chooser.choose_chain(table, model, demand)
        else:
            chain = self._version_chooser.choose(chooser, table, model, demand)
        return StreamPlan(
            stream=work.request,
            chain=chain,
            prompt=prompt.decode(),
            max_tokens=resume_point.position + work.tokens,
            priority=work.rank,
            prefix=prefix,
            layers=model.layers,
            delivered=resume_point.delivered,
            first_position=resume_point.position,
        )


def _stream_response(events, headers):
    return Response(
        body=events, content_type=EVENT_STREAM_TYPE, headers=headers
    )


def _max_answer_tokens(pipeline, body):
    requested = body.max_tokens or pipeline.max_tokens
    return max(1, min(requested, pipeline.max_tokens))


def _prefix_digest(caller, pipeline, body):
    """Return a digest of the first message for cache-aware routing.

    It differs between customers unless the pipeline shares prefixes.
    """
    owner = "" if pipeline.share_prefixes else caller.customer.name
    first_message = body.messages[0].content if body.messages else ""
    text = (
        f"{caller.scope_file.scope}/{owner}/{pipeline.model}/{first_message}"
    )
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _close_permit_at_end(tokens, permit):
    """Yield the tokens, then close the permit with their number."""
    count = 0
    try:
        for token in tokens:
            count += 1
            yield token
    finally:
        tokens.close()
        permit.close(count)


def _find_pipeline(caller, name):
    for pipeline in caller.scope_file.pipelines:
        if pipeline.name == name:
            return pipeline
    known = [pipeline.name for pipeline in caller.scope_file.pipelines]
    raise UnknownNameError(
        unknown_name("model", name, known), "read the names at GET /v1/models"
    )


def _event_stream(plan, tokens, model):
    try:
        for token in tokens:
            yield _token_event(plan, model, token)
        yield DONE_EVENT
    except ApricotseamError as error:
        yield _error_event(error)
    except Exception:
        _LOG.exception("answer_failed", extra={"stream": plan.stream})
        yield _error_event(
            FailedError(
                "an internal error", "resume the answer after its last event"
            )
        )
    finally:
        tokens.close()


def _error_event(error):
    body = msgspec.json.encode({"error": error_body(error)})
    return b"event: error\ndata: " + body + b"\n\n"


def _token_event(plan, model, token):
    choice = {
        "index": 0,
        "delta": {"content": token.text},
        "finish_reason": "stop" if token.end else None,
    }
    data = {
        "id": plan.stream,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
    }
    return (
        b"id: %d\ndata: " % token.position
        + msgspec.json.encode(data)
        + b"\n\n"
    )


def _completion(plan, model, text):
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": "stop",
    }
    return {
        "id": plan.stream,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
    }
