"""Compare-and-swap of the root that resolves lost answers if possible."""

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ConflictError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import ServiceUnavailableError


class RootSwap:
    """Repeats one compare-and-swap until its outcome is known.

    The swap is conditional on the service's version of the root. Versions
    are never reused, so the swap is safe to repeat: at most one attempt
    takes effect, even if the service executes the first one late.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    key : str
        Key of the root.
    retry : Retry
        Provides the clock and the backoff.
    """

    def __init__(self, service, key, retry):
        self._service = service
        self._key = key
        self._retry = retry

    def run(self, version, value, entry, find_winner, deadline):
        """Swap the root and return the audit entry that took effect.

        Parameters
        ----------
        version : int
            The service's version of the root that is to be replaced.
        value : bytes
            The encoded new root.
        entry : AuditEntry
            Audit entry of the change in the new root.
        find_winner : callable
            Returns the entry of the change that replaced the old root, or
            None if the old root is still in place.
        deadline : float
            Monotonic time in seconds after which no retry starts.

        Returns
        -------
        AuditEntry
            The given entry, or that of another attempt at the same change
            that took effect first.

        Raises
        ------
        ConflictError
            If another change is known to have replaced the old root.
        OutcomeUnknownError
            If an answer was lost and the outcome could not be determined
            before the deadline.
        ServiceUnavailableError
            If the service refused every attempt.
        """
        backoff = self._retry.backoff()
        is_uncertain = False
        while True:
            try:
                if self._service.compare_and_swap(self._key, version, value):
                    return entry
                is_uncertain = True
            except AnswerLostError:
                is_uncertain = True
            except ServiceUnavailableError:
                pass
            winner = (
                _find_winner_or_none(find_winner) if is_uncertain else None
            )
            if winner is not None:
                return _require_same_change(winner, entry)
            if not self._retry.wait(backoff, deadline):
                raise (
                    _outcome_unknown(entry)
                    if is_uncertain
                    else _not_applied(entry)
                )


def _find_winner_or_none(find_winner):
    try:
        return find_winner()
    except (AnswerLostError, ServiceUnavailableError):
        return None


def _require_same_change(winner, entry):
    """Return the winning entry if it belongs to the same change."""
    if winner.change_id != entry.change_id:
        raise ConflictError(
            f"another change became revision {winner.revision}",
            "review it with `apricotseam diff` and apply again",
        )
    return winner


def _not_applied(entry):
    return ServiceUnavailableError(
        f"the service did not accept change {entry.change_id}",
        "apply it again when the service is available",
        retry_after=5,
    )


def _outcome_unknown(entry):
    return OutcomeUnknownError(
        f"the answer to change {entry.change_id} was lost",
        f"run `apricotseam change {entry.change_id}` later to see its outcome",
    )
