"""Chat completions: checked bodies, streamed answers."""

import hashlib
import uuid

import msgspec

from apricotseam.callers._context import authenticate
from apricotseam.callers._resume import Resumption
from apricotseam.callers._work import describe_work
from apricotseam.errors import ApricotseamError
from apricotseam.errors import unknown_name
from apricotseam.errors import UnknownNameError
from apricotseam.pipelines import StreamPlan
from apricotseam.routing import Demand
from apricotseam.routing import ServingVersions
from apricotseam.routing import TableStageChooser
from apricotseam.web import error_body
from apricotseam.web import Response

EVENT_STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
BYTES_PER_TOKEN = 4


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class CompletionBody(msgspec.Struct):
    """Body of a chat completion, as far as it is understood.

    ``delivered`` are the tokens that a caller sends back to resume.
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
        Parts of the request path.
    """

    def __init__(self, context):
        self._context = context
        self._versions = ServingVersions()
        self._resumption = Resumption(context.settings, context.clock)

    def handle(self, request):
        """Answer ``POST /v1/chat/completions``."""
        caller = authenticate(request, self._context.snapshots)
        body = request.json(CompletionBody)
        pipeline = _pipeline(caller, body.model)
        point = self._resumption.read(request, caller, body)
        bound = _bound(pipeline, body)
        if point.handle is not None:
            bound = point.handle.max_tokens
        work = describe_work(
            request,
            caller,
            self._context.clock,
            uuid.uuid4().hex,
            pipeline.group,
            pipeline.default_priority,
            max(1, bound - point.position),
        )
        if point.position >= bound:
            return _stream(iter([DONE_EVENT]), [])
        permit = self._context.admission.admit(work)
        try:
            plan = self._plan(caller, pipeline, body, work, point)
            if request.record is not None:
                request.record.targets = [s.target for s in plan.chain.stages]
        except BaseException:
            permit.close()
            raise
        stages = TableStageChooser(
            self._context.snapshots, work.scope, pipeline.group
        )
        tokens = _counted(self._context.runner.run(plan, stages), permit)
        if body.stream:
            header = self._resumption.header(caller, body, plan)
            return _stream(_events(plan, tokens, body.model), [header])
        text = "".join(token.text for token in tokens)
        return Response.of(_whole(plan, body.model, text))

    def list_models(self, request):
        """Answer ``GET /v1/models``."""
        caller = authenticate(request, self._context.snapshots)
        models = [
            {"id": pipeline.name, "object": "model", "owned_by": "apricotseam"}
            for pipeline in caller.scope_file.pipelines
        ]
        return Response.of({"object": "list", "data": models})

    def _plan(self, caller, pipeline, body, work, point):
        scope_file = caller.scope_file
        model = next(m for m in scope_file.models if m.name == pipeline.model)
        if point.handle is not None:
            model = msgspec.structs.replace(
                model, serving=point.handle.version
            )
        prompt = msgspec.json.encode(
            [(message.role, message.content) for message in body.messages]
        )
        prefix = _prefix(caller, pipeline, body)
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
        if point.handle is not None:
            chain = chooser.choose_chain(table, model, demand)
        else:
            chain = self._versions.choose(chooser, table, model, demand)
        return StreamPlan(
            stream=work.request,
            chain=chain,
            prompt=prompt.decode(),
            max_tokens=point.position + work.tokens,
            priority=work.rank,
            prefix=prefix,
            layers=model.layers,
            delivered=point.delivered,
            first_position=point.position,
        )


def _stream(events, headers):
    return Response(
        body=events, content_type=EVENT_STREAM_TYPE, headers=headers
    )


def _bound(pipeline, body):
    wanted = body.max_tokens or pipeline.max_tokens
    return max(1, min(wanted, pipeline.max_tokens))


def _prefix(caller, pipeline, body):
    """Return a digest of the first message, apart by customer."""
    owner = "" if pipeline.share_prefixes else caller.customer.name
    first = body.messages[0].content if body.messages else ""
    text = f"{caller.scope_file.scope}/{owner}/{pipeline.model}/{first}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _counted(tokens, permit):
    """Yield tokens and close the permit with their number."""
    count = 0
    try:
        for token in tokens:
            count += 1
            yield token
    finally:
        tokens.close()
        permit.close(count)


def _pipeline(caller, name):
    for pipeline in caller.scope_file.pipelines:
        if pipeline.name == name:
            return pipeline
    known = [pipeline.name for pipeline in caller.scope_file.pipelines]
    raise UnknownNameError(
        unknown_name("model", name, known), "read the names at GET /v1/models"
    )


def _events(plan, tokens, model):
    try:
        for token in tokens:
            yield _event(plan, model, token)
        yield DONE_EVENT
    except ApricotseamError as error:
        body = msgspec.json.encode({"error": error_body(error)})
        yield b"event: error\ndata: " + body + b"\n\n"
    finally:
        tokens.close()


def _event(plan, model, token):
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


def _whole(plan, model, text):
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
