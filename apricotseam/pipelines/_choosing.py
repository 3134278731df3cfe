"""Interface for choosing the replacement of a failed stage."""

import abc

from apricotseam.errors import NoTargetError


class StageChooser(abc.ABC):
    """Chooses the stages that replace a failed stage."""

    @abc.abstractmethod
    def replace(self, chain, stage, excluded):
        """Return stages that cover exactly the layers of a stage.

        Parameters
        ----------
        chain : Chain
            Chain that names the model and the version to use.
        stage : Stage
            The stage to replace.
        excluded : frozenset of str
            Names of targets that must not be used.

        Returns
        -------
        tuple of Stage

        Raises
        ------
        NoTargetError
            If no usable targets cover exactly these layers.
        """


class NoReplacement(StageChooser):
    """Never finds a replacement."""

    def replace(self, chain, stage, excluded):
        """Raise `NoTargetError`."""
        raise NoTargetError(
            f"no replacement for stage {stage.target}",
            "send the request again",
        )
