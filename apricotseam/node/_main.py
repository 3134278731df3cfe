"""Entry point of the process."""

import asyncio
import gc
import logging
import os
import pathlib

from apricotseam.errors import ApricotseamError
from apricotseam.logs import configure_bounded_logging
from apricotseam.node._loop import make_loop
from apricotseam.node._node import Node
from apricotseam.node._settings import load_node_settings
from apricotseam.node._settings import with_link

_LOG = logging.getLogger(__name__)

SETTINGS_VARIABLE = "APRICOTSEAM_SETTINGS"
# Objects allocated between collections of the youngest generation: requests
# create few reference cycles, so frequent collections would free little.
GC_THRESHOLD = 20000


def main(arguments):
    """Run one host until it is asked to stop; return the exit code.

    Parameters
    ----------
    arguments : list of str
        Path of the settings file; if the list is empty, the path is taken
        from the environment variable ``APRICOTSEAM_SETTINGS``.
    """
    configure_bounded_logging()
    gc.set_threshold(GC_THRESHOLD)
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE)
    try:
        if not path:
            raise ApricotseamError(
                "no settings file given",
                f"pass a path or set {SETTINGS_VARIABLE}",
            )
        text = pathlib.Path(path).read_text()
        settings = with_link(load_node_settings(text, path), os.environ)
    except (ApricotseamError, OSError) as error:
        _LOG.critical("start_failed", extra={"error": str(error)})
        return 2
    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(_run(settings, path))


async def _run(settings, path):
    node = Node(settings, path)
    await node.start()
    return await node.wait()
