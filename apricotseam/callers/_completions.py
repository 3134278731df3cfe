"""Chat completions: checked bodies, streamed answers."""

import uuid

import msgspec

from apricotseam.callers._context import authenticate
from apricotseam.errors import ApricotseamError
from apricotseam.errors import NoTargetError
from apricotseam.errors import UnknownNameError
from apricotseam.pipelines import enumerate_chains
from apricotseam.pipelines import Stage
from apricotseam.pipelines import StreamPlan
from apricotseam.web import error_body
from apricotseam.web import Response

EVENT_STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class CompletionBody(msgspec.Struct):
    """Body of a chat completion, as far as it is understood."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None


class Completions:
    """Answers chat completions.

    Parameters
    ----------
    context : CallerContext
        Parts of the request path.
    """

    def __init__(self, context):
        self._context = context

    def handle(self, request):
        """Answer ``POST /v1/chat/completions``."""
        caller = authenticate(request, self._context.snapshots)
        body = request.json(CompletionBody)
        pipeline = _pipeline(caller, body.model)
        plan = self._plan(caller, pipeline, body)
        tokens = self._context.runner.run(plan)
        if body.stream:
            return Response(
                body=_events(plan, tokens, body.model),
                content_type=EVENT_STREAM_TYPE,
            )
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

    def _plan(self, caller, pipeline, body):
        chain = self._choose_chain(caller, pipeline)
        wanted = body.max_tokens or pipeline.max_tokens
        prompt = msgspec.json.encode(
            [(message.role, message.content) for message in body.messages]
        )
        return StreamPlan(
            stream=uuid.uuid4().hex,
            chain=chain,
            prompt=prompt.decode(),
            max_tokens=min(wanted, pipeline.max_tokens),
        )

    def _choose_chain(self, caller, pipeline):
        scope_file = caller.scope_file
        model = next(m for m in scope_file.models if m.name == pipeline.model)
        table = self._context.snapshots.targets
        stages = [
            Stage(t.name, t.address, t.availability_zone, t.first, t.last)
            for t in table.usable(scope_file.scope, pipeline.group)
            if t.first is not None and t.version == model.serving
        ]
        chains = enumerate_chains(model, model.serving, stages)
        if not chains:
            raise NoTargetError(
                f"no chain of targets covers model {model.name!r}",
                "try again later",
                retry_after=1,
            )
        return self._context.random.choice(chains)


def _pipeline(caller, name):
    for pipeline in caller.scope_file.pipelines:
        if pipeline.name == name:
            return pipeline
    raise UnknownNameError(
        f"unknown model {name!r}", "read the names at GET /v1/models"
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
