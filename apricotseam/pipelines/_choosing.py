"""Interface of the choice of replacements."""

import abc

from apricotseam.errors import NoTargetError


class StageChooser(abc.ABC):
    """Chooses what takes the place of a stage that failed."""

    @abc.abstractmethod
    def replace(self, chain, stage, excluded):
        """Return stages of the chain's version that cover the layers.

        Parameters
        ----------
        chain : Chain
            Chain with model and version.
        stage : Stage
            The stage that is given up.
        excluded : frozenset of str
            Names of targets that must not be used.

        Returns
        -------
        tuple of Stage

        Raises
        ------
        NoTargetError
            If no targets cover just these layers.
        """


class NoReplacement(StageChooser):
    """Never finds a replacement."""

    def replace(self, chain, stage, excluded):
        """Raise `NoTargetError`."""
        raise NoTargetError(
            f"nothing replaces stage {stage.target}", "send the request again"
        )
