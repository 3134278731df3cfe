"""Exchange of the store's changes between hosts."""

import asyncio
import logging

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import ChangesRequest
from apricotseam.coordination._messages import PackedChanges
from apricotseam.coordination._packing import MAX_PLAIN_BYTES
from apricotseam.coordination._packing import pack_changes
from apricotseam.coordination._packing import size_bytes
from apricotseam.coordination._packing import unpack_changes
from apricotseam.errors import InvalidInputError
from apricotseam.peers import PeerAnswerLostError
from apricotseam.peers import PeerUnreachableError

_LOG = logging.getLogger(__name__)

REQUEST_TIMEOUT_SECONDS = 1.0


class PeerChanges:
    """Asks other hosts for changes that this one lacks, and answers them.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    mirror : Mirror
        Items that this host knows.
    """

    def __init__(self, hosts, mirror):
        self._hosts = hosts
        self._mirror = mirror
        # Position after which changes were asked for, and the last packed
        # answer; many hosts that were cut off ask for the same.
        self._packed = (None, None)
        hosts.transport.handle(
            ChangesRequest, self.answer, Changes, PackedChanges
        )

    async def ask(self, position, count, **options):
        """Request the changes after a position from other hosts.

        Parameters
        ----------
        position : Position
            Position up to which this host knows the changes.
        count : int
            Number of hosts to ask.
        **options
            As for `Hosts.choose_peers`.

        Returns
        -------
        list of Changes
            The answers up to the first one that knows more than this host;
            others that are still under way would bring the same over its
            link.
        """
        addresses = self._hosts.choose_peers(count, **options)
        loop = asyncio.get_running_loop()
        pending = {
            loop.create_task(self._request(address, position))
            for address in addresses
        }
        answers = []
        try:
            while pending and not _is_newer(answers, position):
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                results = [task.result() for task in done]
                answers += [r for r in results if r is not None]
        finally:
            for task in pending:
                task.cancel()
        return answers

    def answer(self, sender, request):
        """Return the changes that another host asks for.

        Parameters
        ----------
        sender : str
            Peer address of the other host.
        request : ChangesRequest
            What it asks for.

        Returns
        -------
        Changes or PackedChanges
        """
        changes = self._mirror.changes_since(request.after)
        is_small = size_bytes(changes.items) <= MAX_PLAIN_BYTES
        if is_small or not request.accepts_packed:
            return changes
        after, packed = self._packed
        if after != request.after or packed.position != changes.position:
            packed = pack_changes(changes)
            self._packed = (request.after, packed)
        return packed

    async def _request(self, address, position):
        """Return the answer of one host, None if there is no valid one."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                answer = await self._hosts.transport.ask_async(
                    address, ChangesRequest(position, accepts_packed=True)
                )
            if isinstance(answer, PackedChanges):
                return unpack_changes(answer)
        except (
            PeerAnswerLostError,
            PeerUnreachableError,
            TimeoutError,
        ) as error:
            _LOG.debug("peer_silent", extra={"error": str(error)})
            return None
        except InvalidInputError as error:
            _LOG.warning(
                "peer_changes_refused",
                extra={"peer": address, "error": str(error)},
            )
            return None
        return answer if isinstance(answer, Changes) else None


def _is_newer(answers, position):
    """Return whether an answer reaches beyond a position."""
    return any(changes.position > position for changes in answers)
